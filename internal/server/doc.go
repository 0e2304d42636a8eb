// Package server is the entry process: everything between callers and
// upstreams on one entry VM.
//
// The idea: the decisions live in pkg/ and take the present time; this package
// carries messages between them and the world. State holds what the entry
// knows behind one lock, since every decision is short; each running request
// is a run, whose relay pulls parts from upstreams into a buffer that callers
// and peers read from.
//
// How the parts fit: callers.go authenticates and parses; chat.go and
// services.go serve the two kinds of routes; relay.go brings a streamed answer
// through failures and reclaims; claims.go keeps at-most-once; sync.go reads
// the platform, peers.go speaks with other entries; duties.go drives version
// moves under a lease; reclaim.go acts on notices; admin.go serves operators.
//
//	s, err := server.New(server.Config{...})
//	err = s.Run(ctx)
package server
