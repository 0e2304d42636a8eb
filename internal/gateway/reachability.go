package gateway

import (
	"slices"
	"time"
)

const (
	// maxClockSkew is the clock offset that is not corrected. It is larger than
	// the network delay of a message.
	maxClockSkew = 100 * time.Millisecond
	// silentDomainPenalty is the cost, in shares of an upstream's slots, of a
	// failure domain from whose entries no messages arrive.
	// unreachableDomainPenalty is the cost if connections to it fail too.
	silentDomainPenalty      = 0.5
	unreachableDomainPenalty = 4
	// connectFailureMemory is how long a failed connection to a domain counts.
	connectFailureMemory = 3 * time.Second
)

// domainPenalties returns the cost of the failure domains from which no
// messages arrive, and updates unreachableDomains. The lock must be held.
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

// agreedTime returns the time of day by the median clock of the entries, so
// that an entry whose clock is wrong does no harm. The lock must be held.
func (b *state) agreedTime(now time.Time) time.Time {
	if h, ok := b.received[othersGroup]; ok && now.Sub(h.at) <= peerTimeout {
		// The relay's time is already the median of many clocks.
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

// medianOffset returns the median of clock offsets. Of two middle ones it
// returns the smaller by absolute value.
func medianOffset(ahead []time.Duration) time.Duration {
	slices.Sort(ahead)
	middle := ahead[len(ahead)/2]
	if len(ahead)%2 == 0 && middle.Abs() > ahead[len(ahead)/2-1].Abs() {
		middle = ahead[len(ahead)/2-1]
	}
	return middle
}

// correctTime adds a clock offset to now, unless it is below maxClockSkew.
func correctTime(now time.Time, ahead time.Duration) time.Time {
	if ahead.Abs() < maxClockSkew {
		return now
	}
	return now.Add(ahead)
}
