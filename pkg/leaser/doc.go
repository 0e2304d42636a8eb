// Package leaser decides when a node holds a lease that is a row of the
// platform's table. It does no input or output: the caller reads and writes the
// row and passes in the time.
//
// Clocks of different nodes are never compared. A holder counts the lifetime of
// its lease on its own monotonic clock, from the moment before it sent the write
// that took effect, and stops a margin early. Another node takes over only after
// it has observed the row unchanged for a whole lifetime, or after a release. A node
// that has acted less than a lifetime ago leaves a released lease to others, so that
// its calls and those of another holder do not alternate. Each take-over raises the
// fencing token that is sent with every order.
//
//	l := leaser.New(leaser.Config{Holder: "entry-1", Lifetime: 3*time.Second, Margin: time.Second}, startedAt)
//	l.Observe(now, version, lease)
//	if lease, ok := l.ProposeWrite(now); ok { /* write lease at l.Version(), then */ l.RecordWrite(sentAt, version, lease) }
//	if l.Holds(now) { /* act, with l.Fence() */ }
//
// If a holder is paused for longer than its lease, Holds returns false as soon as
// the holder runs again.
package leaser
