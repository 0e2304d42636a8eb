// Package aggregator adds up counters that many entries keep, without every
// entry hearing every other one.
//
// The idea: the entries of a failure domain form a group, in which two act as
// relays. A member tells its own counters to its relays; a relay tells the sum
// of its group to the relays of other groups, and to each of its members the sum
// of all others. So an entry hears two others however many there are, and news
// is three messages old at most. Up to a few entries, each is a group of its own
// and all hear each other.
//
// Counters only grow while a process lives, so messages may be lost, late or
// doubled. Two relays tell the same sum from different starting points. One
// stands by: when the active one falls silent, it counts from its last message
// before that, so nothing is missed and little is counted twice.
//
//	a := aggregator.New(time.Second)
//	more := a.Hear(now, aggregator.Report{Group: "b", Source: "b1", Boot: 1, Entries: 20, Totals: totals})
//	entries := 1 + a.Entries(now)
package aggregator
