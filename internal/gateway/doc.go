// Package gateway is the entry process for opaque requests. It forwards the
// method, path, header and body of a request to an upstream and returns the
// response unchanged.
//
// A request is served with the configuration that is in force when it arrives.
// Decision packages such as throttler, router and mover admit it and choose its
// upstream. Type state holds the data for these decisions: configuration,
// upstreams, messages of other entries, demand and moves. A Codec translates
// the protocols of callers and upstreams, and a provider.Store reads and writes
// the platform's tables, so the package contains no header or table names.
//
// Files that serve requests:
//
//   - ingress.go accepts and refuses requests; call.go sends a request to
//     upstreams until one attempt succeeds; retries.go limits the attempts of all
//     entries; silence.go cancels attempts on silent upstreams.
//   - crashes.go attributes failed attempts to crashes of upstreams, and
//     quarantine.go refuses requests that cause them.
//   - response.go and events.go forward responses and event streams.
//   - demand.go and prompts.go measure the demand and the shared prompt parts.
//   - stop.go drains the process.
//
// Files that exchange state with other entries:
//
//   - state.go holds the state; membership.go maintains the list of entries.
//   - peers.go sends and receives the messages of message.go, which
//     aggregate.go adds up and listing.go fills with upstreams.
//   - crashrecords.go sends crash records, and quarantinestore.go keeps confirmed
//     requests in the store.
//   - reachability.go detects unreachable failure domains and computes the
//     agreed time.
//   - moves.go splits requests between two versions and compares them.
//
// One entry is the leader, which holds a lease in the store (leader.go). It
// reports usage (usage.go, usageeras.go), orders VMs (fleet.go) and writes the states of
// moves (moves.go) on behalf of all entries.
//
//	g, err := gateway.New(gateway.Config{...})
//	err = g.Run(ctx)
package gateway
