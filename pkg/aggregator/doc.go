// Package aggregator adds up counters over many entries without sending every
// entry's counters to every other entry.
//
// The entries of a failure domain form a group with two relays. A member sends
// its own counters to its relays. A relay sends the total of its group to the
// relays of the other groups, and the total of all other groups to its members.
// A member thus receives from two entries only, and a change takes at most three
// messages to arrive. Up to maxMeshEntries entries there are no relays: each
// entry is its own group and sends to all others.
//
// Counters only grow while a process runs, so messages may be lost, late or
// duplicated. The two relays of a group report its total from different starting
// points. Only the active relay's reports are counted. When it fails, the
// standby's growth since the active relay's last report is counted instead, so
// that no growth is missed and little is counted twice.
//
// NewPlan says which entries exchange messages. FailureDetector finds entries
// from which expected messages stopped.
//
//	a := aggregator.New(time.Second)
//	growth := a.Merge(now, aggregator.Report{Group: "b", Source: "b1", Boot: 1, Entries: 20, Totals: totals})
//	entries := 1 + a.Entries(now)
package aggregator
