package aggregator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxMeshEntries is the largest number of entries that all tell each other: their
	// messages are then fewer than what two more hops cost in delay.
	maxMeshEntries = 16
	// relaysPerGroup is the number of relays of a group, so that the loss of one
	// leaves nobody without news.
	relaysPerGroup = 2
)

// Member is what is known of one entry.
type Member struct {
	ID     string
	Domain string
	// Capacity ranks the entries of a domain as relays, largest first.
	Capacity float64
	// Silent says that the entry was expected to send news and did not.
	Silent bool
}

// Plan says who tells whom, as one entry sees it.
type Plan struct {
	// Group is the entry's own group.
	Group string
	// IsRelay says that the entry is a relay of its group.
	IsRelay bool
	// Relays are the other relays of its group, Members all others of the group.
	Relays  []string
	Members []string
	// RemoteRelays are the relays of the other groups, by group.
	RemoteRelays map[string][]string
}

// GroupOf returns the group of an entry among a number of them.
func GroupOf(m Member, entries int) string {
	if entries <= maxMeshEntries {
		return m.ID
	}
	return m.Domain
}

// NewPlan plans the exchange among all entries, of which self is one. Entries
// with the same knowledge arrive at the same plan.
func NewPlan(self Member, others []Member) Plan {
	entries := 1 + len(others)
	p := Plan{Group: GroupOf(self, entries), RemoteRelays: map[string][]string{}}
	groups := map[string][]Member{p.Group: {self}}
	for _, m := range others {
		group := GroupOf(m, entries)
		groups[group] = append(groups[group], m)
	}
	for name, members := range groups {
		relays := chooseRelays(members)
		if name != p.Group {
			p.RemoteRelays[name] = relays
			continue
		}
		for _, m := range members {
			switch {
			case m.ID == self.ID:
				p.IsRelay = slices.Contains(relays, m.ID)
			default:
				p.Members = append(p.Members, m.ID)
				if slices.Contains(relays, m.ID) {
					p.Relays = append(p.Relays, m.ID)
				}
			}
		}
	}
	slices.Sort(p.Members)
	return p
}

// chooseRelays returns the relays of a group: the first that are not silent, and the
// first of all beside them, who learns by that of its return.
func chooseRelays(members []Member) []string {
	slices.SortFunc(members, func(a, b Member) int {
		if by := cmp.Compare(b.Capacity, a.Capacity); by != 0 {
			return by
		}
		if by := cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)); by != 0 {
			return by
		}
		return cmp.Compare(a.ID, b.ID)
	})
	var relays []string
	for _, m := range members {
		if !m.Silent && len(relays) < relaysPerGroup {
			relays = append(relays, m.ID)
		}
	}
	for _, m := range members[:min(relaysPerGroup, len(members))] {
		if !slices.Contains(relays, m.ID) {
			relays = append(relays, m.ID)
		}
	}
	return relays
}

// FailureDetector tells whether an entry from which news is expected has fallen silent.
// The zero value expects nothing.
type FailureDetector struct {
	receivedAt    time.Time
	expectedSince time.Time
}

// relayExclusion is how long an entry that did not send what was expected is
// passed over as a relay.
const relayExclusion = 5 * time.Second

// Received notes that the entry sent news.
func (w *FailureDetector) Received(now time.Time) { w.receivedAt = now }

// LastReceived returns when the entry was last heard, zero for never.
func (w *FailureDetector) LastReceived() time.Time { return w.receivedAt }

// Expect notes whether news is expected from the entry from now on. One that is
// silent is remembered as such for a while.
func (w *FailureDetector) Expect(now time.Time, expected bool, reach time.Duration) {
	switch {
	case expected && w.expectedSince.IsZero():
		w.expectedSince = now
	case !expected && (!w.Silent(now, reach) || now.Sub(w.expectedSince) > reach+relayExclusion && now.Sub(w.receivedAt) > reach+relayExclusion):
		w.expectedSince = time.Time{}
	}
}

// Silent reports whether news was expected for longer than reach and did not
// come.
func (w *FailureDetector) Silent(now time.Time, reach time.Duration) bool {
	return !w.expectedSince.IsZero() && now.Sub(w.expectedSince) > reach && now.Sub(w.receivedAt) > reach
}
