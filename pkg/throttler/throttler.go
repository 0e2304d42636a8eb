package throttler

import (
	"maps"
	"math"
	"time"
)

// least is the balance that any request needs, so that none is admitted on top
// of a debt.
const least = 1e-9

// leastWait is the shortest wait that a refusal names.
const leastWait = time.Millisecond

// Limit is an organisation's quota over all entries.
type Limit struct {
	// Rate is what may be spent a second; zero means no limit.
	Rate  float64
	Burst float64
}

// Ask is one request for a part of a quota.
type Ask struct {
	Cost float64
	// Reserve is the share of the burst that is left to more urgent requests.
	// Requests that cost next to nothing do not heed it.
	Reserve float64
}

// reserveFrom is the share of the burst from which on a cost heeds the whole
// reserve.
const reserveFrom = 0.01

// Config sets a quoter up.
type Config struct {
	// Start is when the process began. Buckets are empty then, since what was
	// spent before is not known.
	Start time.Time
	// Reach is how long entries count as heard after Heard.
	Reach time.Duration
	// Round is the time between two messages of an entry.
	Round time.Duration
	// Debt is how far below zero a bucket may be taken, so that large requests
	// do not wait behind many small ones. It is paid back before anything else
	// is admitted.
	Debt float64
}

// rationFactor times the equal part of what is left is what one entry may spend
// between two messages. Above one, entries with more callers than others are
// not held up; the excess over what is left stays below what is left.
const rationFactor = 2

// Quoter is one entry's view of what all of them spend. It is not safe for
// concurrent use.
type Quoter struct {
	cfg     Config
	members int
	buckets map[string]*bucket
	spent   map[string]float64
	// heardEntries is the number of entries that were heard at heardAt.
	heardEntries int
	heardAt      time.Time
}

type bucket struct {
	balance float64
	at      time.Time
	// ration is what this entry may spend in the round that began at roundAt,
	// taken what it has spent of it.
	ration  float64
	taken   float64
	roundAt time.Time
	// refused is the cost of what was refused lately, as of refusedAt.
	refused   float64
	refusedAt time.Time
}

const (
	// returnMemory is the time over which refused requests are taken to return.
	returnMemory = time.Second
	// mostSpread bounds the time over which they are asked to.
	mostSpread = 2 * time.Second
)

// turnAway counts a refused request.
func (b *bucket) turnAway(now time.Time, cost float64) {
	b.refused = b.returning(now) + cost
	b.refusedAt = now
}

// returning is the cost of what is expected to come back.
func (b *bucket) returning(now time.Time) float64 {
	if b.refused == 0 {
		return 0
	}
	return b.refused * math.Exp(-now.Sub(b.refusedAt).Seconds()/returnMemory.Seconds())
}

// Spread returns the time in which an organisation's quota would admit all that
// was refused lately: returns that are spread over it meet an open quota.
func (q *Quoter) Spread(now time.Time, org string, limit Limit) time.Duration {
	b, ok := q.buckets[org]
	if !ok || limit.Rate <= 0 {
		return 0
	}
	share := min(1, float64(q.heard(now))/float64(q.members))
	return min(mostSpread, time.Duration(b.returning(now)/(limit.Rate*share)*float64(time.Second)))
}

// New returns a quoter that has spent nothing.
func New(cfg Config) *Quoter {
	return &Quoter{cfg: cfg, members: 1, buckets: map[string]*bucket{}, spent: map[string]float64{}, heardEntries: 1}
}

// Members sets the number of entries that may be serving, in reach or not,
// this one included.
func (q *Quoter) Members(n int) { q.members = max(1, n) }

// Spent returns all that this entry has spent, by organisation.
func (q *Quoter) Spent() map[string]float64 { return maps.Clone(q.spent) }

// Take subtracts what other entries have spent since they were last heard.
func (q *Quoter) Take(spent map[string]float64) {
	for org, more := range spent {
		if b, ok := q.buckets[org]; ok {
			b.balance -= more
		}
	}
}

// Heard sets the number of entries that this one hears, itself included.
func (q *Quoter) Heard(now time.Time, entries int) { q.heardEntries, q.heardAt = entries, now }

// heard returns the number of entries that this one hears, itself included.
func (q *Quoter) heard(now time.Time) int {
	if now.Sub(q.heardAt) > q.cfg.Reach {
		return 1
	}
	return max(1, q.heardEntries)
}

// Spend takes cost from an organisation's quota. If it does not allow that, it
// returns the time after which it should. A cost that the bucket never allows
// needs a full one.
func (q *Quoter) Spend(now time.Time, org string, limit Limit, ask Ask) (bool, time.Duration) {
	cost := ask.Cost
	if limit.Rate <= 0 {
		return true, 0
	}
	heard := q.heard(now)
	share := min(1, float64(heard)/float64(q.members))
	full, debt := limit.Burst*share, q.cfg.Debt*share
	b, ok := q.buckets[org]
	if !ok {
		b = &bucket{at: q.cfg.Start}
		q.buckets[org] = b
	}
	if passed := now.Sub(b.at); passed > 0 {
		b.balance = math.Min(full, b.balance+passed.Seconds()*limit.Rate*share)
		b.at = now
	}
	if b.roundAt.IsZero() || now.Sub(b.roundAt) >= q.cfg.Round {
		b.roundAt, b.taken = now, 0
		b.ration = rationFactor * (b.balance + debt) / float64(heard)
	}
	reserve := ask.Reserve * full * math.Min(1, cost/(reserveFrom*math.Max(1, full)))
	need := math.Min(math.Max(least, cost-debt)+reserve, full)
	if b.balance < need {
		b.turnAway(now, cost)
		missing := (need - b.balance) / (limit.Rate * share)
		return false, max(leastWait, time.Duration(missing*float64(time.Second)))
	}
	if heard > 1 && b.taken > 0 && b.taken+cost > b.ration {
		b.turnAway(now, cost)
		return false, max(leastWait, q.cfg.Round-now.Sub(b.roundAt))
	}
	b.balance -= cost
	b.taken += cost
	q.spent[org] += cost
	return true, 0
}

// Refund gives back the cost of a request that no upstream got.
func (q *Quoter) Refund(org string, cost float64) {
	if b, ok := q.buckets[org]; ok {
		b.balance += cost
		b.taken -= cost
	}
	q.spent[org] = math.Max(0, q.spent[org]-cost)
}
