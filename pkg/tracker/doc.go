// Package tracker keeps an entry's view of the other entries.
//
// The idea: the platform's VM list, which lags, says who might exist; this
// entry's own exchanges say who answers. A member that has not been heard for
// a while is a suspect, later out of reach; it stays known, so that it is
// found again when a partition heals. Peers for the next round are chosen
// from the own failure domain, with one of each other domain.
//
//	t := tracker.New(tracker.Config{Self: self})
//	t.List(now, members)
//	for _, m := range t.Round(random) { /* exchange with m */ t.Heard(now, m.ID, generation, ready) }
package tracker
