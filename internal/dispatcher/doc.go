// Package dispatcher sends requests to upstreams: model engines and plain
// services.
//
// EngineClient, ServiceClient and Prober are the interfaces that the rest of
// the system uses. HTTP implements them for the protocol of the emulated
// upstreams; upstreams with another protocol need another implementation. Every
// error carries a verdict: NotRun only if no connection was made or the upstream
// refused the request by protocol, MayHaveRun otherwise.
//
// A call that must not be repeated uses a new connection. The HTTP library
// silently sends a request again if a reused connection turns out to be closed,
// which can't happen on a new connection. A device on the path, such as a NAT
// gateway, can have dropped the state of a reused connection too, but not that of
// a new one.
package dispatcher
