package tracker

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// unreachableAfter is how long a member must have failed to answer to count as out
	// of reach.
	unreachableAfter = 3 * time.Second
	// removeAfter drops an unlisted member that stays silent.
	removeAfter = 10 * time.Minute
	// localFanout is the number of own-domain members in a round.
	localFanout = 3
	// maxSmallFleet is the number of members up to which each round goes to every
	// domain; in larger ones a round goes to fewer, less often.
	maxSmallFleet = 24
	// largeLocalFanout is the number of own-domain members in such a round.
	largeLocalFanout = 2
	// smallInterval and largeInterval are the times between rounds.
	smallInterval = 500 * time.Millisecond
	largeInterval = 3 * time.Second
)

// Reachability says whether a member answers.
type Reachability string

// The reaches of a member.
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

// Status is a member with what is known of it.
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
	// failingSince is the time of the first exchange that failed since the member
	// was last heard.
	failingSince time.Time
	generation   uint64
	ready        bool
	leaving      bool
	listed       bool
}

// Config sets a Tracker up.
type Config struct {
	Self Member
}

// Tracker is the membership view of one entry. It is not safe for concurrent
// use.
type Tracker struct {
	cfg     Config
	members map[string]*record
	// domains lists the members by failure domain, each list by id. It is made
	// anew when the members change.
	domains []domain
}

type domain struct {
	name    string
	members []Member
}

// New returns a tracker that knows only its own member.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg, members: map[string]*record{}} }

// UpdateList takes the platform's list of entries.
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

// AddMember adds a member that a peer told of.
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

// RecordContact records that a member answered or called.
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

// MarkLeaving marks a member that has a notice.
func (t *Tracker) MarkLeaving(id string) {
	if rec, ok := t.members[id]; ok {
		rec.leaving = true
	}
}

// RecordFailure records that a member did not answer.
func (t *Tracker) RecordFailure(now time.Time, id string) {
	if rec, ok := t.members[id]; ok && rec.failingSince.IsZero() {
		rec.failingSince = now
	}
}

// reachability is alive for a member whose last exchange went well, however long ago:
// in a large fleet most members are not heard from for minutes.
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

// Reachability says whether a member answers; one that is not known is out of reach.
func (t *Tracker) Reachability(now time.Time, id string) Reachability {
	rec, ok := t.members[id]
	if !ok {
		return Unreachable
	}
	return rec.reachability(now)
}

// Statuses returns all members by id.
func (t *Tracker) Statuses(now time.Time) []Status {
	list := make([]Status, 0, len(t.members))
	for _, rec := range t.members {
		list = append(list, Status{Member: rec.Member, Reachability: rec.reachability(now), Generation: rec.generation, Ready: rec.ready, Leaving: rec.leaving})
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// RoundInterval returns the time between rounds. The bytes that a member spends on
// rounds stay the same however large the fleet is.
func (t *Tracker) RoundInterval() time.Duration {
	if len(t.members) <= maxSmallFleet {
		return smallInterval
	}
	return largeInterval
}

// SelectPeers returns the peers of the next exchange: a few of the own failure
// domain and one of each other domain, in a large fleet one of the others in
// all. One member that fails is tried again beside them.
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

// sample adds a random choice of n members. A partial shuffle leaves the chosen
// ones in front.
func (d domain) sample(random *rand.Rand, round []Member, n int) []Member {
	for at := range min(n, len(d.members)) {
		other := at + random.IntN(len(d.members)-at)
		d.members[at], d.members[other] = d.members[other], d.members[at]
		round = append(round, d.members[at])
	}
	return round
}

// addFailing adds one of the members that fail.
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

// RankedMembers returns up to n members in the rendezvous order of key, those that are
// in reach and not leaving before others.
func (t *Tracker) RankedMembers(now time.Time, key string, n int) []Member {
	type ranked struct {
		Member
		fit  int
		rank uint64
	}
	var list []ranked
	for _, rec := range t.members {
		r := ranked{Member: rec.Member, rank: xxhash.Sum64String(key + "/" + rec.ID)}
		if rec.reachability(now) == Reachable {
			r.fit += 2
		}
		if !rec.leaving {
			r.fit++
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.fit != b.fit {
			return b.fit - a.fit
		}
		if a.rank > b.rank {
			return -1
		}
		return 1
	})
	near := make([]Member, 0, n)
	for _, r := range list[:min(n, len(list))] {
		near = append(near, r.Member)
	}
	return near
}

// ServingEntries returns the number of entries that share the upstreams: this one
// and those in reach that stay.
func (t *Tracker) ServingEntries(now time.Time) int {
	sharing := 1
	for _, rec := range t.members {
		if rec.reachability(now) != Unreachable && !rec.leaving {
			sharing++
		}
	}
	return sharing
}
