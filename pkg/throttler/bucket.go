package throttler

import (
	"math"
	"time"
)

// bucket is the quota of one organisation.
type bucket struct {
	limit Limit
	// share is the share of the entries that were reachable at updatedAt. balance is what
	// their part of the quota has left, separate what the part of the others would have
	// left if they had spent nothing since they were last reachable.
	share     float64
	balance   float64
	separate  float64
	updatedAt time.Time
	// roundBudget is what this entry may spend in the round that began at roundAt,
	// roundSpending what it has spent in it. A round is one ReportInterval.
	roundBudget   float64
	roundSpending float64
	roundAt       time.Time
	// refusedCost is the decayed cost of recent refusals as of refusedAt.
	refusedCost float64
	refusedAt   time.Time
}

const (
	// retryDecay is the time constant with which the expected retries of refused
	// requests decay.
	retryDecay = time.Second
	// maxRetrySpread bounds RetrySpread.
	maxRetrySpread = 2 * time.Second
)

// addRefused records a refused request.
func (b *bucket) addRefused(now time.Time, cost float64) {
	b.refusedCost = b.expectedRetries(now) + cost
	b.refusedAt = now
}

// expectedRetries returns the cost of refused requests that are expected to be
// retried.
func (b *bucket) expectedRetries(now time.Time) float64 {
	if b.refusedCost == 0 {
		return 0
	}
	return b.refusedCost * math.Exp(-now.Sub(b.refusedAt).Seconds()/retryDecay.Seconds())
}

// setShare refills the bucket up to now and changes the share of the reachable entries.
// Unless the others are known to be out of reach, as of settled, their part is not kept.
// When some of them become reachable again, late is what they have spent meanwhile, which
// the balance has been charged with already.
func (b *bucket) setShare(now, settled time.Time, share, late float64) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.balance = math.Min(b.limit.Burst*b.share, b.balance+elapsed.Seconds()*b.limit.Rate*b.share)
		if apart := min(elapsed, now.Sub(settled)); apart > 0 {
			b.separate += apart.Seconds() * b.limit.Rate * (1 - b.share)
		}
		b.updatedAt = now
	}
	switch {
	case share < b.share:
		left := max(0, b.balance) * (1 - share/b.share)
		b.balance -= left
		b.separate += left
	case share > b.share:
		joined := b.separate * (share - b.share) / (1 - b.share)
		b.separate -= joined
		b.balance += min(joined, late+b.limit.Burst*(share-b.share))
	}
	b.share = share
	if share == 1 {
		b.separate = 0
	}
}
