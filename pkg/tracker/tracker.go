package tracker

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// suspectAfter is the silence after which a member is a suspect.
	suspectAfter = 1500 * time.Millisecond
	// lostAfter is the silence after which a member counts as out of reach.
	lostAfter = 5 * time.Second
	// forgetAfter drops an unlisted member that stays silent.
	forgetAfter = 10 * time.Minute
	// localFanout is the number of own-domain members in a round.
	localFanout = 3
)

// Reach says whether a member answers.
type Reach string

// The reaches of a member.
const (
	Alive   Reach = "alive"
	Suspect Reach = "suspect"
	Lost    Reach = "out_of_reach"
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
	Reach      Reach  `json:"reach"`
	Generation uint64 `json:"generation"`
	Ready      bool   `json:"ready"`
	Leaving    bool   `json:"leaving"`
}

type record struct {
	Member
	heard      time.Time
	firstSeen  time.Time
	generation uint64
	ready      bool
	leaving    bool
	listed     bool
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
}

// New returns a tracker that knows only its own member.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg, members: map[string]*record{}} }

// List takes the platform's list of entries.
func (t *Tracker) List(now time.Time, list []Member) {
	for _, rec := range t.members {
		rec.listed = false
	}
	for _, m := range list {
		if rec := t.know(now, m); rec != nil {
			rec.listed = true
		}
	}
	for id, rec := range t.members {
		if !rec.listed && now.Sub(rec.lastSign()) > forgetAfter {
			delete(t.members, id)
		}
	}
}

// Learn adds a member that a peer told of.
func (t *Tracker) Learn(now time.Time, m Member) { t.know(now, m) }

func (t *Tracker) know(now time.Time, m Member) *record {
	if m.ID == t.cfg.Self.ID || m.ID == "" || m.Address == "" {
		return nil
	}
	rec, ok := t.members[m.ID]
	if !ok {
		rec = &record{firstSeen: now}
		t.members[m.ID] = rec
	}
	rec.Member = m
	return rec
}

func (rec *record) lastSign() time.Time {
	if rec.heard.IsZero() {
		return rec.firstSeen
	}
	return rec.heard
}

// Heard records that a member answered or called.
func (t *Tracker) Heard(now time.Time, m Member, generation uint64, ready, leaving bool) {
	rec := t.know(now, m)
	if rec == nil {
		return
	}
	rec.heard = now
	rec.generation = max(rec.generation, generation)
	rec.ready = ready
	rec.leaving = rec.leaving || leaving
}

// Leave marks a member that has a notice.
func (t *Tracker) Leave(id string) {
	if rec, ok := t.members[id]; ok {
		rec.leaving = true
	}
}

func (rec *record) reach(now time.Time) Reach {
	silence := now.Sub(rec.lastSign())
	switch {
	case rec.heard.IsZero():
		return Lost
	case silence < suspectAfter:
		return Alive
	case silence < lostAfter:
		return Suspect
	default:
		return Lost
	}
}

// Statuses returns all members by id.
func (t *Tracker) Statuses(now time.Time) []Status {
	list := make([]Status, 0, len(t.members))
	for _, rec := range t.members {
		list = append(list, Status{Member: rec.Member, Reach: rec.reach(now), Generation: rec.generation, Ready: rec.ready, Leaving: rec.leaving})
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Round returns the peers of the next exchange: a few of the own failure
// domain and one of each other domain.
func (t *Tracker) Round(random *rand.Rand) []Member {
	byDomain := map[string][]Member{}
	for _, rec := range t.members {
		byDomain[rec.FailureDomain] = append(byDomain[rec.FailureDomain], rec.Member)
	}
	domains := make([]string, 0, len(byDomain))
	for domain := range byDomain {
		domains = append(domains, domain)
	}
	slices.Sort(domains)
	var round []Member
	for _, domain := range domains {
		members := byDomain[domain]
		slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
		random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		fanout := 1
		if domain == t.cfg.Self.FailureDomain {
			fanout = localFanout
		}
		round = append(round, members[:min(fanout, len(members))]...)
	}
	return round
}

// Near returns up to n members in the rendezvous order of key, those that are
// in reach and not leaving before others.
func (t *Tracker) Near(now time.Time, key string, n int) []Member {
	type ranked struct {
		Member
		fit  int
		rank uint64
	}
	var list []ranked
	for _, rec := range t.members {
		r := ranked{Member: rec.Member, rank: xxhash.Sum64String(key + "/" + rec.ID)}
		if rec.reach(now) == Alive {
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

// Sharing returns the number of entries that share the upstreams: this one
// and those in reach that stay.
func (t *Tracker) Sharing(now time.Time) int {
	sharing := 1
	for _, rec := range t.members {
		if rec.reach(now) != Lost && !rec.leaving {
			sharing++
		}
	}
	return sharing
}
