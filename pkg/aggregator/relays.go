package aggregator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// meshMost is the largest number of entries that all tell each other: their
	// messages are then fewer than what two more hops cost in delay.
	meshMost = 16
	// relaysEach is the number of relays of a group, so that the loss of one
	// leaves nobody without news.
	relaysEach = 2
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
	// Relay says that the entry is a relay of its group.
	Relay bool
	// Relays are the other relays of its group, Members all others of the group.
	Relays  []string
	Members []string
	// Others are the relays of the other groups, by group.
	Others map[string][]string
}

// GroupOf returns the group of an entry among a number of them.
func GroupOf(m Member, entries int) string {
	if entries <= meshMost {
		return m.ID
	}
	return m.Domain
}

// Arrange plans the exchange among all entries, of which self is one. Entries
// with the same knowledge arrive at the same plan.
func Arrange(self Member, others []Member) Plan {
	entries := 1 + len(others)
	p := Plan{Group: GroupOf(self, entries), Others: map[string][]string{}}
	groups := map[string][]Member{p.Group: {self}}
	for _, m := range others {
		group := GroupOf(m, entries)
		groups[group] = append(groups[group], m)
	}
	for name, members := range groups {
		relays := relaysOf(members)
		if name != p.Group {
			p.Others[name] = relays
			continue
		}
		for _, m := range members {
			switch {
			case m.ID == self.ID:
				p.Relay = slices.Contains(relays, m.ID)
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

// relaysOf returns the relays of a group: the first that are not silent, and the
// first of all beside them, who learns by that of its return.
func relaysOf(members []Member) []string {
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
		if !m.Silent && len(relays) < relaysEach {
			relays = append(relays, m.ID)
		}
	}
	for _, m := range members[:min(relaysEach, len(members))] {
		if !slices.Contains(relays, m.ID) {
			relays = append(relays, m.ID)
		}
	}
	return relays
}

// Watch tells whether an entry from which news is expected has fallen silent.
// The zero value expects nothing.
type Watch struct {
	heardAt time.Time
	since   time.Time
}

// silenceMemory is how long an entry that did not send what was expected is
// passed over as a relay.
const silenceMemory = 5 * time.Second

// Heard notes that the entry sent news.
func (w *Watch) Heard(now time.Time) { w.heardAt = now }

// HeardAt returns when the entry was last heard, zero for never.
func (w *Watch) HeardAt() time.Time { return w.heardAt }

// Expect notes whether news is expected from the entry from now on. One that is
// silent is remembered as such for a while.
func (w *Watch) Expect(now time.Time, expected bool, reach time.Duration) {
	switch {
	case expected && w.since.IsZero():
		w.since = now
	case !expected && (!w.Silent(now, reach) || now.Sub(w.since) > reach+silenceMemory && now.Sub(w.heardAt) > reach+silenceMemory):
		w.since = time.Time{}
	}
}

// Silent reports whether news was expected for longer than reach and did not
// come.
func (w *Watch) Silent(now time.Time, reach time.Duration) bool {
	return !w.since.IsZero() && now.Sub(w.since) > reach && now.Sub(w.heardAt) > reach
}
