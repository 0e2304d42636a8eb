package gateway

import (
	"slices"
	"time"
)

const (
	// maxClockSkew is how far clocks may differ without being corrected: it is more
	// than the way of a message takes.
	maxClockSkew = 100 * time.Millisecond
	// silentDomainPenalty is the cost, in shares of an upstream's slots, of the way to
	// a failure domain none of whose entries is heard; cutDetour that of one where
	// connections fail too.
	silentDomainPenalty      = 0.5
	unreachableDomainPenalty = 4
	// connectFailureMemory is how long a failed connection to a domain counts.
	connectFailureMemory = 3 * time.Second
)

// domainPenalties returns the failure domains that seem to be cut off from this entry
// with what the way to their upstreams costs. The lock must be held.
func (b *state) domainPenalties(now time.Time) map[string]float64 {
	heard := map[string]bool{}
	for _, p := range b.peers {
		if p.domain != "" && p.domain != b.cfg.FailureDomain {
			heard[p.domain] = false
		}
	}
	for _, h := range b.received {
		if now.Sub(h.at) > peerTimeout {
			continue
		}
		for _, domain := range append(h.message.Domains, h.message.Domain) {
			if _, known := heard[domain]; known {
				heard[domain] = true
			}
		}
	}
	costs := map[string]float64{}
	clear(b.unreachableDomains)
	for domain, reached := range heard {
		switch {
		case reached:
		case now.Sub(b.connectFailedAt[domain]) < connectFailureMemory:
			costs[domain] = unreachableDomainPenalty
			b.unreachableDomains[domain] = true
		default:
			costs[domain] = silentDomainPenalty
		}
	}
	return costs
}

// agreedTime returns the time of day that most entries agree on, so that a clock
// that was set wrong does no harm. The lock must be held.
func (b *state) agreedTime(now time.Time) time.Time {
	if h, ok := b.received[othersGroup]; ok && now.Sub(h.at) <= peerTimeout {
		// A relay has compared many clocks already.
		return correctTime(now, h.clockOffset)
	}
	ahead := []time.Duration{0}
	for _, h := range b.received {
		if now.Sub(h.at) <= peerTimeout {
			ahead = append(ahead, h.clockOffset)
		}
	}
	return correctTime(now, medianOffset(ahead))
}

// medianOffset returns the median of how far clocks are ahead.
func medianOffset(ahead []time.Duration) time.Duration {
	slices.Sort(ahead)
	middle := ahead[len(ahead)/2]
	if len(ahead)%2 == 0 && middle.Abs() > ahead[len(ahead)/2-1].Abs() {
		middle = ahead[len(ahead)/2-1]
	}
	return middle
}

func correctTime(now time.Time, ahead time.Duration) time.Time {
	if ahead.Abs() < maxClockSkew {
		return now
	}
	return now.Add(ahead)
}
