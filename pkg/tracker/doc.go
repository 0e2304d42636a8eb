// Package tracker keeps one entry's membership list of the other entries.
//
// The platform's VM list names the members that may exist, with a delay. The
// entry's own exchanges show which members respond. A member is reachable until
// an exchange with it fails. It is then a suspect, later unreachable, and stays in
// the list, so that it is found again after a partition. In a small fleet each
// round of exchanges covers all failure domains, twice a second. In a large fleet
// rounds are smaller and less frequent, and only urgent updates spread quickly.
//
//	t := tracker.New(tracker.Config{Self: self})
//	t.UpdateList(now, members)
//	for _, m := range t.SelectPeers(random) {
//		// Exchange with m, then either of:
//		t.RecordContact(now, m, generation, ready, leaving)
//		t.RecordFailure(now, m.ID)
//	}
package tracker
