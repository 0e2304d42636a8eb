// Package gateway is the entry process for opaque requests: method, path,
// headers and body go to an upstream and its answer comes back, unchanged.
//
// The idea: what the entry believes (configuration, upstreams, other entries)
// is kept apart from what carries a request. Beliefs change behind one lock and
// carry a version and an age; a request resolves against the configuration that
// was in force when it came and asks the decision packages where to go. Callers'
// and upstreams' protocols are met through a Codec, the platform's store through
// keeper.Store, so nothing here knows the names on the wire.
//
// How the parts fit: ingress.go takes requests in and refuses; call.go brings
// one through attempts, watch.go leaves upstreams that are silent; relay.go and
// events.go pass answers on. beliefs.go holds what is known; peers.go exchanges
// it with other entries in the messages of news.go, whose sums are made in sums.go
// and whose rows of upstreams in listing.go; roster.go keeps the list of entries,
// reach.go says who is out of reach; demand.go and prompts.go measure what callers
// ask; moves.go keeps a new version's share. duties.go, usage.go, fleet.go and the
// keeper of moves.go act for all entries under a lease; stop.go ends a process
// without cutting a request.
//
//	g, err := gateway.New(gateway.Config{...})
//	err = g.Run(ctx)
package gateway
