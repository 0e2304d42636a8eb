// Package leaser decides when a node holds a lease kept in the platform's table.
//
// The idea: no two clocks are compared. A holder counts its lease from the
// moment before it sent the write that won, on its own monotonic clock, and
// stops a margin early; another node takes over only after it has itself seen
// the row unchanged for a whole lifetime. Each take-over raises the fence
// number that goes with every order.
//
//	l := leaser.New(leaser.Config{Holder: "entry-1", Lifetime: 3*time.Second, Margin: time.Second})
//	l.Observe(now, version, lease)
//	if want, ok := l.Want(now); ok { /* write want at l.Version(), then */ l.Won(sentAt, version, want) }
//	if l.Holds(now) { /* act, with l.Fence() */ }
//
// A holder that was paused finds Holds false as soon as it runs again.
package leaser
