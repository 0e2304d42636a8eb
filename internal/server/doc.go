// Package server is the entry process: it serves callers' requests from
// upstreams, on one entry VM.
//
// Decisions are made by the packages in pkg/, which get the current time as an
// argument. This package does the I/O and holds the state behind one lock, which
// is held only for short decisions. A chat completion is also called a run: its
// relay appends the parts that upstreams generate to a buffer, from which callers
// and peers read.
//
// Files by task:
//
//   - callers.go authenticates and reads requests; chat.go and services.go serve
//     chat completions and plain services; sender.go writes the responses to chat
//     completions; pool.go admits requests.
//   - relay.go continues a run after failures and reclaims; request.go holds its
//     state; watchdog.go detects silent connections and crashed upstreams;
//     isolation.go isolates suspect requests from each other.
//   - claims.go runs calls with idempotency keys at most once; outcomes.go writes
//     their outcomes.
//   - sync.go polls the platform and the upstreams; peers.go exchanges state with
//     peers, the other entries; state.go holds the entry's state.
//   - leader.go elects leaders by leases and advances moves; moves.go compares the
//     versions of a move; fleet.go orders and drains VMs.
//   - reclaim.go handles reclaim notices; admin.go and audit.go serve operators;
//     metrics.go serves metrics.
//
// Use:
//
//	s, err := server.New(server.Config{...})
//	err = s.Run(ctx)
package server
