// Package resolver finds the route, the organisation and the deployment of a
// request.
//
// A Config is one version of the operators' configuration. New indexes it once
// and it is immutable after that, so lookups need no lock, and each request
// keeps using the version that was current when it arrived.
//
//	r, err := resolver.New(cfg)
//	route, ok := r.Route("shop.example", "/chat/2f")
//	org, ok := r.Organisation("key-of-the-caller")
//
// The route is the one with the longest prefix among those of the host.
package resolver
