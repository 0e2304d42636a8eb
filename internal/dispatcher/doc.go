// Package dispatcher speaks with upstreams: model engines and plain services.
//
// The idea: Engines and Services are what the rest of the system knows; HTTP
// implements both for upstreams that speak the stand-ins' protocol, and a firm
// whose upstreams speak another gets another adapter. Every error carries a
// verdict: NotRun only if no connection was made or the upstream refused by
// protocol, MayHaveRun otherwise.
//
// Calls that may not be repeated each use a connection of their own: the HTTP
// library silently sends a request again when a reused connection turns out
// to be closed, and a fresh connection is never in that case. It also can't be
// one that a device in between has forgotten.
package dispatcher
