// Package messenger sends messages between entries over gRPC.
//
// The messages are Go structs encoded as CBOR, so the build needs no code
// generator. Exchange spreads state between entries. State provides a new entry
// with what it needs while the platform is down. Handoff hands a running request
// off to a peer, Locate finds out which peer has a request and Join receives the
// request's parts from that peer.
//
//	server, err := messenger.NewServer(handler, messenger.Security{})
//	peers, err := messenger.NewClient(messenger.ClientConfig{})
//	reply, err := peers.Exchange(ctx, address, &messenger.Exchange{...})
//
// The package makes no decisions: a Handler processes the messages.
package messenger
