package throttler

import (
	"maps"
	"math"
	"time"
)

// minBalance is the balance that any request needs, so that none is admitted on top
// of a debt.
const minBalance = 1e-9

// minRetryDelay is the shortest wait that a refusal names.
const minRetryDelay = time.Millisecond

// Limit is an organisation's quota over all entries.
type Limit struct {
	// Rate is what may be spent a second; zero means no limit.
	Rate  float64
	Burst float64
}

// Request is one request for a part of a quota.
type Request struct {
	Cost float64
	// Reserve is the share of the burst that is left to more urgent requests.
	// Requests that cost next to nothing do not heed it.
	Reserve float64
}

// fullReserveShare is the share of the burst from which on a cost heeds the whole
// reserve.
const fullReserveShare = 0.01

// Config sets a quoter up.
type Config struct {
	// Start is when the process began. Buckets are empty then, since what was
	// spent before is not known.
	Start time.Time
	// PeerTimeout is how long entries count as heard after Heard.
	PeerTimeout time.Duration
	// ReportInterval is the time between two messages of an entry.
	ReportInterval time.Duration
	// MaxDebt is how far below zero a bucket may be taken, so that large requests
	// do not wait behind many small ones. It is paid back before anything else
	// is admitted.
	MaxDebt float64
}

// roundBudgetFactor times the equal part of what is left is what one entry may spend
// between two messages. Above one, entries with more callers than others are
// not held up; the excess over what is left stays below what is left.
const roundBudgetFactor = 2

// Throttler is one entry's view of what all of them spend. It is not safe for
// concurrent use.
type Throttler struct {
	cfg          Config
	knownEntries int
	buckets      map[string]*bucket
	spending     map[string]float64
	// lastReachable is the number of entries that were heard at heardAt.
	lastReachable int
	reachableAt   time.Time
}

type bucket struct {
	balance   float64
	updatedAt time.Time
	// roundBudget is what this entry may spend in the round that began at roundAt,
	// taken what it has spent of it.
	roundBudget   float64
	roundSpending float64
	roundAt       time.Time
	// refusedCost is the cost of what was refusedCost lately, as of refusedAt.
	refusedCost float64
	refusedAt   time.Time
}

const (
	// retryDecay is the time over which refused requests are taken to return.
	retryDecay = time.Second
	// maxRetrySpread bounds the time over which they are asked to.
	maxRetrySpread = 2 * time.Second
)

// addRefused counts a refused request.
func (b *bucket) addRefused(now time.Time, cost float64) {
	b.refusedCost = b.expectedRetries(now) + cost
	b.refusedAt = now
}

// expectedRetries is the cost of what is expected to come back.
func (b *bucket) expectedRetries(now time.Time) float64 {
	if b.refusedCost == 0 {
		return 0
	}
	return b.refusedCost * math.Exp(-now.Sub(b.refusedAt).Seconds()/retryDecay.Seconds())
}

// RetrySpread returns the time in which an organisation's quota would admit all that
// was refused lately: returns that are spread over it meet an open quota.
func (q *Throttler) RetrySpread(now time.Time, org string, limit Limit) time.Duration {
	b, ok := q.buckets[org]
	if !ok || limit.Rate <= 0 {
		return 0
	}
	share := min(1, float64(q.reachableEntries(now))/float64(q.knownEntries))
	return min(maxRetrySpread, time.Duration(b.expectedRetries(now)/(limit.Rate*share)*float64(time.Second)))
}

// New returns a quoter that has spent nothing.
func New(cfg Config) *Throttler {
	return &Throttler{cfg: cfg, knownEntries: 1, buckets: map[string]*bucket{}, spending: map[string]float64{}, lastReachable: 1}
}

// SetKnownEntries sets the number of entries that may be serving, in reach or not,
// this one included.
func (q *Throttler) SetKnownEntries(n int) { q.knownEntries = max(1, n) }

// LocalSpending returns all that this entry has spent, by organisation.
func (q *Throttler) LocalSpending() map[string]float64 { return maps.Clone(q.spending) }

// AddRemoteSpending subtracts what other entries have spent since they were last heard.
func (q *Throttler) AddRemoteSpending(spent map[string]float64) {
	for org, more := range spent {
		if b, ok := q.buckets[org]; ok {
			b.balance -= more
		}
	}
}

// SetReachableEntries sets the number of entries that this one hears, itself included.
func (q *Throttler) SetReachableEntries(now time.Time, entries int) {
	q.lastReachable, q.reachableAt = entries, now
}

// reachableEntries returns the number of entries that this one hears, itself included.
func (q *Throttler) reachableEntries(now time.Time) int {
	if now.Sub(q.reachableAt) > q.cfg.PeerTimeout {
		return 1
	}
	return max(1, q.lastReachable)
}

// Allow takes cost from an organisation's quota. If it does not allow that, it
// returns the time after which it should. A cost that the bucket never allows
// needs a full one.
func (q *Throttler) Allow(now time.Time, org string, limit Limit, ask Request) (bool, time.Duration) {
	cost := ask.Cost
	if limit.Rate <= 0 {
		return true, 0
	}
	heard := q.reachableEntries(now)
	share := min(1, float64(heard)/float64(q.knownEntries))
	full, debt := limit.Burst*share, q.cfg.MaxDebt*share
	b, ok := q.buckets[org]
	if !ok {
		b = &bucket{updatedAt: q.cfg.Start}
		q.buckets[org] = b
	}
	if passed := now.Sub(b.updatedAt); passed > 0 {
		b.balance = math.Min(full, b.balance+passed.Seconds()*limit.Rate*share)
		b.updatedAt = now
	}
	if b.roundAt.IsZero() || now.Sub(b.roundAt) >= q.cfg.ReportInterval {
		b.roundAt, b.roundSpending = now, 0
		b.roundBudget = roundBudgetFactor * (b.balance + debt) / float64(heard)
	}
	reserve := ask.Reserve * full * math.Min(1, cost/(fullReserveShare*math.Max(1, full)))
	need := math.Min(math.Max(minBalance, cost-debt)+reserve, full)
	if b.balance < need {
		b.addRefused(now, cost)
		missing := (need - b.balance) / (limit.Rate * share)
		return false, max(minRetryDelay, time.Duration(missing*float64(time.Second)))
	}
	if heard > 1 && b.roundSpending > 0 && b.roundSpending+cost > b.roundBudget {
		b.addRefused(now, cost)
		return false, max(minRetryDelay, q.cfg.ReportInterval-now.Sub(b.roundAt))
	}
	b.balance -= cost
	b.roundSpending += cost
	q.spending[org] += cost
	return true, 0
}

// Refund gives back the cost of a request that no upstream got.
func (q *Throttler) Refund(org string, cost float64) {
	if b, ok := q.buckets[org]; ok {
		b.balance += cost
		b.roundSpending -= cost
	}
	q.spending[org] = math.Max(0, q.spending[org]-cost)
}
