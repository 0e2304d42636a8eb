package tracker

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// unreachableAfter is how long exchanges with a member must have failed for
	// it to count as unreachable.
	unreachableAfter = 3 * time.Second
	// removeAfter is how long an unlisted member may be silent before it is
	// removed.
	removeAfter = 10 * time.Minute
	// localFanout is the number of peers of the own domain in a round.
	localFanout = 3
	// maxSmallFleet is the number of members up to which each round covers all
	// domains. In larger fleets rounds are smaller and less frequent.
	maxSmallFleet = 24
	// largeLocalFanout is localFanout for large fleets.
	largeLocalFanout = 2
	// smallInterval and largeInterval are the times between rounds in small and
	// large fleets.
	smallInterval = 500 * time.Millisecond
	largeInterval = 3 * time.Second
)

// Reachability says whether a member responds.
type Reachability string

// The values of Reachability.
const (
	Reachable   Reachability = "alive"
	Suspect     Reachability = "suspect"
	Unreachable Reachability = "out_of_reach"
)

// Member is one entry process.
type Member struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// Status is a member with its last received state.
type Status struct {
	Member
	Reachability Reachability `json:"reach"`
	Generation   uint64       `json:"generation"`
	Ready        bool         `json:"ready"`
	Leaving      bool         `json:"leaving"`
}

type record struct {
	Member
	lastContact time.Time
	firstSeen   time.Time
	// failingSince is the time of the first failed exchange since the last
	// contact, zero if there was none.
	failingSince time.Time
	generation   uint64
	ready        bool
	leaving      bool
	listed       bool
}

// Config configures a Tracker.
type Config struct {
	Self Member
}

// Tracker is the membership list of one entry. It is not safe for concurrent
// use.
type Tracker struct {
	cfg     Config
	members map[string]*record
	// domains lists the members by failure domain, each list sorted by ID. It is
	// nil after the members have changed, until SelectPeers builds it again.
	domains []domain
}

type domain struct {
	name    string
	members []Member
}

// New returns a tracker without members.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg, members: map[string]*record{}} }

// UpdateList sets which members the platform lists. Members that it does not
// list stay until they have been silent for removeAfter.
func (t *Tracker) UpdateList(now time.Time, list []Member) {
	for _, rec := range t.members {
		rec.listed = false
	}
	for _, m := range list {
		if rec := t.upsert(now, m); rec != nil {
			rec.listed = true
		}
	}
	for id, rec := range t.members {
		if !rec.listed && now.Sub(rec.lastSeen()) > removeAfter {
			delete(t.members, id)
			t.domains = nil
		}
	}
}

// AddMember adds a member that a peer reported.
func (t *Tracker) AddMember(now time.Time, m Member) { t.upsert(now, m) }

func (t *Tracker) upsert(now time.Time, m Member) *record {
	if m.ID == t.cfg.Self.ID || m.ID == "" || m.Address == "" {
		return nil
	}
	rec, ok := t.members[m.ID]
	if !ok {
		rec = &record{firstSeen: now}
		t.members[m.ID] = rec
	}
	if rec.Member != m {
		rec.Member = m
		t.domains = nil
	}
	return rec
}

func (rec *record) lastSeen() time.Time {
	if rec.lastContact.IsZero() {
		return rec.firstSeen
	}
	return rec.lastContact
}

// RecordContact records the state that a member sent in a call or a response.
func (t *Tracker) RecordContact(now time.Time, m Member, generation uint64, ready, leaving bool) {
	rec := t.upsert(now, m)
	if rec == nil {
		return
	}
	rec.lastContact = now
	rec.failingSince = time.Time{}
	rec.generation = max(rec.generation, generation)
	rec.ready = ready
	rec.leaving = rec.leaving || leaving
}

// MarkLeaving marks a member as leaving, for example after a reclaim notice.
func (t *Tracker) MarkLeaving(id string) {
	if rec, ok := t.members[id]; ok {
		rec.leaving = true
	}
}

// RecordFailure records that a member did not respond.
func (t *Tracker) RecordFailure(now time.Time, id string) {
	if rec, ok := t.members[id]; ok && rec.failingSince.IsZero() {
		rec.failingSince = now
	}
}

// reachability is Reachable after a successful exchange, however long ago: in a
// large fleet most members have no exchange with this entry for minutes.
func (rec *record) reachability(now time.Time) Reachability {
	switch {
	case !rec.failingSince.IsZero() && now.Sub(rec.failingSince) >= unreachableAfter:
		return Unreachable
	case !rec.failingSince.IsZero() || rec.lastContact.IsZero():
		return Suspect
	default:
		return Reachable
	}
}

// Reachability returns the reachability of a member. One that is not in the list
// is unreachable.
func (t *Tracker) Reachability(now time.Time, id string) Reachability {
	rec, ok := t.members[id]
	if !ok {
		return Unreachable
	}
	return rec.reachability(now)
}

// Statuses returns all members, sorted by ID.
func (t *Tracker) Statuses(now time.Time) []Status {
	list := make([]Status, 0, len(t.members))
	for _, rec := range t.members {
		list = append(list, Status{Member: rec.Member, Reachability: rec.reachability(now), Generation: rec.generation, Ready: rec.ready, Leaving: rec.leaving})
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// RoundInterval returns the time between rounds. The longer interval and the
// smaller rounds of a large fleet keep the bytes that each member sends constant as
// the fleet grows.
func (t *Tracker) RoundInterval() time.Duration {
	if len(t.members) <= maxSmallFleet {
		return smallInterval
	}
	return largeInterval
}

// SelectPeers returns the peers of the next round: a few of the own failure
// domain and one of each other domain. In a large fleet there is a peer of at most
// one other domain, picked at random. One failing member is tried in addition.
func (t *Tracker) SelectPeers(random *rand.Rand) []Member {
	if t.domains == nil {
		t.groupByDomain()
	}
	var round []Member
	large := len(t.members) > maxSmallFleet
	other := -1
	if large {
		other = random.IntN(len(t.domains))
	}
	for i, d := range t.domains {
		switch {
		case d.name == t.cfg.Self.FailureDomain && large:
			round = d.sample(random, round, largeLocalFanout)
		case d.name == t.cfg.Self.FailureDomain:
			round = d.sample(random, round, localFanout)
		case !large || i == other:
			round = d.sample(random, round, 1)
		}
	}
	return t.addFailing(random, round)
}

// sample appends n random members of the domain to round. It is a partial
// shuffle that leaves the chosen members at the front.
func (d domain) sample(random *rand.Rand, round []Member, n int) []Member {
	for at := range min(n, len(d.members)) {
		other := at + random.IntN(len(d.members)-at)
		d.members[at], d.members[other] = d.members[other], d.members[at]
		round = append(round, d.members[at])
	}
	return round
}

// addFailing appends a random failing member to round.
func (t *Tracker) addFailing(random *rand.Rand, round []Member) []Member {
	var failing []Member
	for _, rec := range t.members {
		if !rec.failingSince.IsZero() {
			failing = append(failing, rec.Member)
		}
	}
	if len(failing) == 0 {
		return round
	}
	slices.SortFunc(failing, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	chosen := failing[random.IntN(len(failing))]
	if slices.Contains(round, chosen) {
		return round
	}
	return append(round, chosen)
}

func (t *Tracker) groupByDomain() {
	byDomain := map[string][]Member{}
	for _, rec := range t.members {
		byDomain[rec.FailureDomain] = append(byDomain[rec.FailureDomain], rec.Member)
	}
	t.domains = []domain{}
	for name, members := range byDomain {
		slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
		t.domains = append(t.domains, domain{name: name, members: members})
	}
	slices.SortFunc(t.domains, func(a, b domain) int { return strings.Compare(a.name, b.name) })
}

// RankedMembers returns up to n members: reachable ones first, then those that
// stay before those that are leaving, and equal ones in rendezvous-hash order of
// key.
func (t *Tracker) RankedMembers(now time.Time, key string, n int) []Member {
	type ranked struct {
		Member
		preference int
		rank       uint64
	}
	var list []ranked
	for _, rec := range t.members {
		r := ranked{Member: rec.Member, rank: xxhash.Sum64String(key + "/" + rec.ID)}
		if rec.reachability(now) == Reachable {
			r.preference += 2
		}
		if !rec.leaving {
			r.preference++
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.preference != b.preference {
			return b.preference - a.preference
		}
		if a.rank > b.rank {
			return -1
		}
		return 1
	})
	members := make([]Member, 0, n)
	for _, r := range list[:min(n, len(list))] {
		members = append(members, r.Member)
	}
	return members
}

// ServingEntries returns the number of entries that share the upstreams: this
// one, and all members that are neither unreachable nor leaving.
func (t *Tracker) ServingEntries(now time.Time) int {
	entries := 1
	for _, rec := range t.members {
		if rec.reachability(now) != Unreachable && !rec.leaving {
			entries++
		}
	}
	return entries
}
