package throttler

import (
	"maps"
	"math"
	"time"
)

// minBalance is the smallest balance that admits a request, whatever its cost,
// so that none is admitted while the bucket has a debt.
const minBalance = 1e-9

// minRetryDelay is the shortest delay that a refusal returns.
const minRetryDelay = time.Millisecond

// Limit is an organisation's quota over all entries.
type Limit struct {
	// Rate is the refill per second in cost units; zero means no limit. Burst is
	// the capacity of the bucket.
	Rate  float64
	Burst float64
}

// Request is one request to charge to a quota.
type Request struct {
	Cost float64
	// Reserve is the share of the burst that the request leaves to more urgent
	// ones. It is scaled down for costs below fullReserveShare of the burst.
	Reserve float64
}

// fullReserveShare is the cost, as a share of the burst, from which on the whole
// reserve applies.
const fullReserveShare = 0.01

// Config configures a Throttler.
type Config struct {
	// Start is when the process started. Buckets are empty then, since the
	// spending before the start is unknown.
	Start time.Time
	// PeerTimeout is how long a call of SetReachableEntries is valid. After it,
	// no other entry counts as reachable.
	PeerTimeout time.Duration
	// ReportInterval is the time between two reports of an entry to the others.
	ReportInterval time.Duration
	// MaxDebt is how far below zero a bucket may go, so that large requests are
	// not starved by many small ones. The debt must refill before anything else
	// is admitted.
	MaxDebt float64
}

// roundBudgetFactor times an equal share of the remaining quota is an entry's
// budget between two of its reports. A factor above one lets entries with more
// callers than others spend more. With a factor of two, the entries together
// exceed the remaining quota by less than its amount.
const roundBudgetFactor = 2

// Throttler holds one entry's state of the quotas. It is not safe for concurrent
// use.
type Throttler struct {
	cfg          Config
	knownEntries int
	buckets      map[string]*bucket
	spending     map[string]float64
	// lastReachable is the number of reachable entries as of reachableAt.
	lastReachable int
	reachableAt   time.Time
	// lateSpending is what other entries have spent, as received since the last call of
	// SetReachableEntries.
	lateSpending map[string]float64
}

// RetrySpread returns the time in which an organisation's quota admits all
// requests refused recently. Retries that are spread over this time find tokens in
// the bucket.
func (t *Throttler) RetrySpread(now time.Time, org string, limit Limit) time.Duration {
	b, ok := t.buckets[org]
	if !ok || limit.Rate <= 0 {
		return 0
	}
	return min(maxRetrySpread, time.Duration(b.expectedRetries(now)/(limit.Rate*t.share(now))*float64(time.Second)))
}

// New returns a throttler without spending.
func New(cfg Config) *Throttler {
	return &Throttler{cfg: cfg, knownEntries: 1, buckets: map[string]*bucket{}, spending: map[string]float64{}, lastReachable: 1, lateSpending: map[string]float64{}}
}

// SetKnownEntries sets the number of entries that may be serving, reachable or
// not, this one included.
func (t *Throttler) SetKnownEntries(n int) { t.knownEntries = max(1, n) }

// LocalSpending returns the total that this entry has spent, by organisation.
func (t *Throttler) LocalSpending() map[string]float64 { return maps.Clone(t.spending) }

// AddRemoteSpending charges what other entries have spent since their last
// reports.
func (t *Throttler) AddRemoteSpending(spending map[string]float64) {
	for org, cost := range spending {
		if b, ok := t.buckets[org]; ok {
			b.balance -= cost
			t.lateSpending[org] += cost
		}
	}
}

// SetReachableEntries sets the number of reachable entries, this one included. It is
// called after AddRemoteSpending has charged what newly reachable entries have spent.
func (t *Throttler) SetReachableEntries(now time.Time, entries int) {
	before := t.share(now)
	t.lastReachable, t.reachableAt = entries, now
	if after := t.share(now); after > before {
		for org, b := range t.buckets {
			b.setShare(now, t.settled(), before, 0)
			b.setShare(now, t.settled(), after, t.lateSpending[org])
		}
	}
	clear(t.lateSpending)
}

// share returns the share of the entries that are reachable. Their part of a quota is
// this entry's to spend.
func (t *Throttler) share(now time.Time) float64 {
	return min(1, float64(t.reachableEntries(now))/float64(t.knownEntries))
}

// settled returns when an entry that started with this process is known to be out of
// reach.
func (t *Throttler) settled() time.Time { return t.cfg.Start.Add(t.cfg.PeerTimeout) }

// reachableEntries returns the number of reachable entries, this one included.
func (t *Throttler) reachableEntries(now time.Time) int {
	if now.Sub(t.reachableAt) > t.cfg.PeerTimeout {
		return 1
	}
	return max(1, t.lastReachable)
}

// Allow charges a request to an organisation's quota. If the quota does not
// admit it, Allow returns false and the delay after which it should be retried.
// A cost above the burst and MaxDebt together needs a full bucket.
func (t *Throttler) Allow(now time.Time, org string, limit Limit, r Request) (bool, time.Duration) {
	cost := r.Cost
	if limit.Rate <= 0 {
		return true, 0
	}
	reachable := t.reachableEntries(now)
	share := t.share(now)
	full, debt := limit.Burst*share, t.cfg.MaxDebt*share
	b, ok := t.buckets[org]
	if !ok {
		b = &bucket{updatedAt: t.cfg.Start, share: share}
		t.buckets[org] = b
	}
	b.limit = limit
	b.setShare(now, t.settled(), share, 0)
	if b.roundAt.IsZero() || now.Sub(b.roundAt) >= t.cfg.ReportInterval {
		b.roundAt, b.roundSpending = now, 0
		b.roundBudget = roundBudgetFactor * (b.balance + debt) / float64(reachable)
	}
	reserve := r.Reserve * full * math.Min(1, cost/(fullReserveShare*math.Max(1, full)))
	need := math.Min(math.Max(minBalance, cost-debt)+reserve, full)
	if b.balance < need {
		b.addRefused(now, cost)
		missing := (need - b.balance) / (limit.Rate * share)
		return false, max(minRetryDelay, time.Duration(missing*float64(time.Second)))
	}
	if reachable > 1 && b.roundSpending > 0 && b.roundSpending+cost > b.roundBudget {
		b.addRefused(now, cost)
		return false, max(minRetryDelay, t.cfg.ReportInterval-now.Sub(b.roundAt))
	}
	b.balance -= cost
	b.roundSpending += cost
	t.spending[org] += cost
	return true, 0
}

// Refund returns the cost of a request that no upstream received.
func (t *Throttler) Refund(org string, cost float64) {
	if b, ok := t.buckets[org]; ok {
		b.balance += cost
		b.roundSpending -= cost
	}
	t.spending[org] = math.Max(0, t.spending[org]-cost)
}
