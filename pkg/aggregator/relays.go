package aggregator

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxMeshEntries is the largest number of entries that exchange messages
	// directly, each with all others. Up to this number the additional messages
	// are cheaper than the delay of two more hops.
	maxMeshEntries = 16
	// relaysPerGroup is the number of relays of a group: two, so that the members
	// still receive reports when one fails.
	relaysPerGroup = 2
)

// Member describes one entry.
type Member struct {
	ID     string
	Domain string
	// Capacity ranks the entries of a domain as relays, largest first.
	Capacity float64
	// Silent says that messages expected from the entry did not arrive.
	Silent bool
}

// Plan lists the entries that one entry exchanges messages with.
type Plan struct {
	// Group is the entry's own group.
	Group string
	// IsRelay says that the entry is a relay of its group.
	IsRelay bool
	// Relays are the other relays of its group, Members all other entries of it.
	Relays  []string
	Members []string
	// RemoteRelays are the relays of the other groups, by group.
	RemoteRelays map[string][]string
}

// GroupOf returns the group of m in a fleet of the given number of entries.
func GroupOf(m Member, entries int) string {
	if entries <= maxMeshEntries {
		return m.ID
	}
	return m.Domain
}

// NewPlan returns the plan of self among all entries. Entries with the same
// member lists compute the same groups and relays.
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

// chooseRelays returns the relays of a group: the highest-ranked members that
// are not silent, and the highest-ranked ones overall. A silent member among the
// latter still gets reports, so that its recovery is detected.
func chooseRelays(members []Member) []string {
	slices.SortFunc(members, func(a, b Member) int {
		if order := cmp.Compare(b.Capacity, a.Capacity); order != 0 {
			return order
		}
		if order := cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)); order != 0 {
			return order
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

// FailureDetector detects that expected messages of an entry stopped. The zero
// value expects none.
type FailureDetector struct {
	receivedAt    time.Time
	expectedSince time.Time
}

// relayExclusion is how long an entry is excluded as a relay after messages that
// were expected from it did not arrive.
const relayExclusion = 5 * time.Second

// Received records a message of the entry.
func (d *FailureDetector) Received(now time.Time) { d.receivedAt = now }

// LastReceived returns the time of the entry's last message, zero for none.
func (d *FailureDetector) LastReceived() time.Time { return d.receivedAt }

// Expect sets whether messages are expected from the entry from now on. A silent
// entry remains silent until relayExclusion has passed since its timeout.
func (d *FailureDetector) Expect(now time.Time, expected bool, peerTimeout time.Duration) {
	switch {
	case expected && d.expectedSince.IsZero():
		d.expectedSince = now
	case !expected && (!d.Silent(now, peerTimeout) || now.Sub(d.expectedSince) > peerTimeout+relayExclusion && now.Sub(d.receivedAt) > peerTimeout+relayExclusion):
		d.expectedSince = time.Time{}
	}
}

// Silent reports whether messages have been expected for longer than
// peerTimeout and none arrived within it.
func (d *FailureDetector) Silent(now time.Time, peerTimeout time.Duration) bool {
	return !d.expectedSince.IsZero() && now.Sub(d.expectedSince) > peerTimeout && now.Sub(d.receivedAt) > peerTimeout
}
