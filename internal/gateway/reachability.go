package gateway

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxClockSkew is the clock offset that is not corrected. It is larger than
	// the network delay of a message.
	maxClockSkew = 100 * time.Millisecond
	// silentDomainPenalty is the cost, in shares of an upstream's slots, of a
	// failure domain whose entries send no messages. unreachableDomainPenalty
	// is the cost if connections to the domain fail too.
	silentDomainPenalty      = 0.5
	unreachableDomainPenalty = 4
	// connectFailureTTL is how long a failed connection to a domain counts.
	connectFailureTTL = 3 * time.Second
)

// applyReachability passes the state of the failure domains to the router. The lock must
// be held.
func (st *state) applyReachability(now time.Time) {
	st.router.SetDomainPenalties(st.domainPenalties(now))
	st.router.SetUnreachableDomains(maps.Clone(st.unreachableDomains))
}

// domainPenalties returns the cost of the failure domains from which no
// messages arrive, and updates unreachableDomains. The lock must be held.
func (st *state) domainPenalties(now time.Time) map[string]float64 {
	reachable := map[string]bool{}
	for _, p := range st.peers {
		if p.domain != "" && p.domain != st.cfg.FailureDomain {
			reachable[p.domain] = false
		}
	}
	for _, m := range st.received {
		if now.Sub(m.at) > peerTimeout {
			continue
		}
		for _, domain := range append(m.message.Domains, m.message.Domain) {
			if _, known := reachable[domain]; known {
				reachable[domain] = true
			}
		}
	}
	penalties := map[string]float64{}
	clear(st.unreachableDomains)
	for domain, reached := range reachable {
		switch {
		case reached:
		case now.Sub(st.connectFailedAt[domain]) < connectFailureTTL:
			penalties[domain] = unreachableDomainPenalty
			st.unreachableDomains[domain] = true
		default:
			penalties[domain] = silentDomainPenalty
		}
	}
	return penalties
}

// agreedTime returns the time of day by the median clock of the entries, so
// that an entry whose clock is wrong does no harm. The lock must be held.
func (st *state) agreedTime(now time.Time) time.Time {
	if m, ok := st.received[othersGroup]; ok && now.Sub(m.at) <= peerTimeout {
		// The relay's time is already the median of many clocks.
		return correctTime(now, m.clockOffset)
	}
	offsets := []time.Duration{0}
	for _, m := range st.received {
		if now.Sub(m.at) <= peerTimeout {
			offsets = append(offsets, m.clockOffset)
		}
	}
	return correctTime(now, medianOffset(offsets))
}

// medianOffset returns the median of clock offsets. If their number is even, it
// returns the middle offset with the smaller absolute value.
func medianOffset(offsets []time.Duration) time.Duration {
	slices.Sort(offsets)
	middle := offsets[len(offsets)/2]
	if len(offsets)%2 == 0 && middle.Abs() > offsets[len(offsets)/2-1].Abs() {
		middle = offsets[len(offsets)/2-1]
	}
	return middle
}

// correctTime adds a clock offset to now, unless it is below maxClockSkew.
func correctTime(now time.Time, offset time.Duration) time.Time {
	if offset.Abs() < maxClockSkew {
		return now
	}
	return now.Add(offset)
}
