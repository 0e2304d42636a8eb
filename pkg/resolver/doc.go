// Package resolver finds out what a request asks for: its route, its
// organisation and the deployment that serves it.
//
// The idea: a Config is one version of what operators have put in force. It is
// indexed once by New and never changes after that, so requests resolve against
// it without a lock, and each request keeps the version that it began with.
//
//	r, err := resolver.New(cfg)
//	route, ok := r.Route("shop.example", "/chat/2f")
//	org, ok := r.Organisation("key-of-the-caller")
//
// The route is the one with the longest prefix among those of the host.
package resolver
