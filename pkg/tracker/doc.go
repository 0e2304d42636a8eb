// Package tracker keeps an entry's view of the other entries.
//
// The idea: the platform's VM list, which lags, says who might exist; this
// entry's own exchanges say who answers. A member counts as alive until an
// exchange with it fails; it is then a suspect, later out of reach, and stays
// known, so that it is found again when a partition heals. In a small fleet a
// round reaches every domain twice a second; in a large one rounds are smaller
// and rarer, and only news travels fast.
//
//	t := tracker.New(tracker.Config{Self: self})
//	t.List(now, members)
//	for _, m := range t.Round(random) { /* exchange with m */ t.Heard(now, m, generation, ready, leaving) or t.Missed(now, m.ID) }
package tracker
