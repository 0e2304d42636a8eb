// Package messenger carries messages between entry processes over gRPC.
//
// The idea: typed Go structs are the messages; they travel as CBOR, so the
// build needs no generator. Exchange spreads what entries learn from each
// other, State brings a new entry up when the platform is down, Handoff gives
// a running request to a peer, Locate and Join find it again.
//
//	server, err := messenger.Serve(listener, handler, messenger.Security{})
//	peers := messenger.NewClient(messenger.ClientConfig{})
//	reply, err := peers.Exchange(ctx, address, &messenger.Exchange{...})
//
// Nothing here decides; Handler is what the entry makes of the messages.
package messenger
