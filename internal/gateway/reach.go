package gateway

import (
	"slices"
	"time"
)

const (
	// clockSlack is how far clocks may differ without being corrected: it is more
	// than the way of a message takes.
	clockSlack = 100 * time.Millisecond
	// silentDetour is the cost, in shares of an upstream's slots, of the way to
	// a failure domain none of whose entries is heard; cutDetour that of one where
	// connections fail too.
	silentDetour = 0.5
	cutDetour    = 4
	// failureMemory is how long a failed connection to a domain counts.
	failureMemory = 3 * time.Second
)

// detours returns the failure domains that seem to be cut off from this entry
// with what the way to their upstreams costs. The lock must be held.
func (b *beliefs) detours(now time.Time) map[string]float64 {
	heard := map[string]bool{}
	for _, p := range b.peers {
		if p.domain != "" && p.domain != b.cfg.FailureDomain {
			heard[p.domain] = heard[p.domain] || now.Sub(p.heardAt) <= peerReach
		}
	}
	costs := map[string]float64{}
	clear(b.cut)
	for domain, reached := range heard {
		switch {
		case reached:
		case now.Sub(b.failedAt[domain]) < failureMemory:
			costs[domain] = cutDetour
			b.cut[domain] = true
		default:
			costs[domain] = silentDetour
		}
	}
	return costs
}

// trueTime returns the time of day that most entries agree on: the median of
// those in reach, so that a clock that was set wrong does no harm. The lock must
// be held.
func (b *beliefs) trueTime(now time.Time) time.Time {
	ahead := []time.Duration{0}
	for _, p := range b.peers {
		if now.Sub(p.heardAt) <= peerReach {
			ahead = append(ahead, p.ahead)
		}
	}
	slices.Sort(ahead)
	middle := ahead[len(ahead)/2]
	if len(ahead)%2 == 0 && middle.Abs() > ahead[len(ahead)/2-1].Abs() {
		middle = ahead[len(ahead)/2-1]
	}
	if middle.Abs() < clockSlack {
		return now
	}
	return now.Add(middle)
}
