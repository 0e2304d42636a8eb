package mover

import (
	"math"
	"time"
)

// Schedule moves all traffic to a new version within a fixed time and within the
// operators' bound on the requests that a bad version may get. The share depends
// only on the time since the order and on whether the version is trusted, so
// entries need no messages to agree on the stage.
type Schedule struct {
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// MaxExposure bounds the share of all requests within Duration that may go to
	// a version that turns out to be bad.
	MaxExposure float64
}

// usableAllowance is the part of the operators' fixed allowance of requests that
// a schedule plans with. The rest covers requests in flight when a version is
// rolled back.
const usableAllowance = 0.6

// MaxExposure returns the value of Schedule.MaxExposure for operators' bounds: a
// share of all requests and a fixed number of requests beyond that share. With
// little traffic the exposure is larger, as too few outcomes would be seen in
// time otherwise.
func MaxExposure(share, allowance, perSecond float64, duration time.Duration) float64 {
	if requests := perSecond * duration.Seconds(); requests > 0 {
		share += usableAllowance * allowance / requests
	}
	return min(share, exposureLimit)
}

// exposureLimit bounds the exposure at any rate of requests.
const exposureLimit = 0.4

// stage is a phase of a schedule. Exactly one of its two shares is not zero.
type stage struct {
	// end is the end of the stage, as a fraction of Schedule.Duration.
	end float64
	// exposureShare is the traffic share as a fraction of MaxExposure.
	exposureShare float64
	// fixedShare is the traffic share itself. It needs a trusted version.
	fixedShare float64
	// packed reports that the share goes to as few upstreams as have slots for it.
	packed bool
}

// The first two stages use several upstreams, since upstreams differ in speed. The
// third loads few upstreams as much as callers may load any of them later: some faults
// appear only under load, and a share of all traffic that would load all upstreams is
// beyond the exposure. The fourth waits for the outcomes of the third. Requests of the
// old version end during the last stage.
var stages = []stage{
	{end: 0.10, exposureShare: 0.3},
	{end: 0.26, exposureShare: 0.6},
	{end: 0.58, exposureShare: 1.5, packed: true},
	{end: 0.66, exposureShare: 0.3},
	{end: 1, fixedShare: 1},
}

const (
	// settledAt is the fraction of Duration after which a trusted version is
	// good. The rest of the time is for the report.
	settledAt = 0.86
	// expiredAt is the fraction of Duration after which a version that is not
	// settled is rolled back.
	expiredAt = 0.94
	// maxTrustedLevel is the evidence level from which on a version is not
	// trusted. It is above holdLevel, since a schedule has no time to wait until
	// a random increase has fallen again.
	maxTrustedLevel = 100.0
	// maxRateExcess is how far the new version's rate of slow requests may be above
	// the current version's for it to be trusted, maxFailureExcess the same for the
	// rate of failed ones.
	maxRateExcess    = 0.2
	maxFailureExcess = 0.03
	// maxCachedSlowExcess replaces maxRateExcess for late first tokens where pauses
	// are compared, for the reason of cachedSlowMargin.
	maxCachedSlowExcess = 0.45
	// minFailureExcess is the number of failures beyond the current version's rate
	// that a version with few outcomes may have.
	minFailureExcess = 4.0
	// minTrustedOutcomes is the number of outcomes that a new version needs to be
	// trusted.
	minTrustedOutcomes = 20
)

// untrustedShare is the traffic share of a version that is not trusted, in stages with a
// fixed share, as a fraction of MaxExposure.
const untrustedShare = 0.6

// stageAt returns the stage at a time since the order.
func (s Schedule) stageAt(elapsed time.Duration) stage {
	fraction := float64(elapsed) / float64(s.Duration)
	for _, stage := range stages {
		if fraction < stage.end {
			return stage
		}
	}
	return stages[len(stages)-1]
}

// Share returns the new version's share of requests at a time since the order.
// A version that is not trusted gets a small share instead of a fixed share, so that
// more outcomes decide.
func (s Schedule) Share(elapsed time.Duration, trusted bool) float64 {
	if s.Duration <= 0 {
		return 0
	}
	current := s.stageAt(elapsed)
	switch {
	case current.fixedShare > 0 && trusted:
		return current.fixedShare
	case current.fixedShare > 0:
		return untrustedShare * s.MaxExposure
	default:
		return current.exposureShare * s.MaxExposure
	}
}

// Packed reports whether the share goes to the upstream that NextPacked returns.
func (s Schedule) Packed(elapsed time.Duration, trusted bool) bool {
	if s.Duration <= 0 {
		return false
	}
	current := s.stageAt(elapsed)
	return current.packed || current.fixedShare > 0 && !trusted
}

// packedLoad is the part of an upstream's slots that a packed share fills before it
// uses another upstream.
const packedLoad = 0.9

// Occupancy is the load of an upstream in requests, and the number that it runs at
// once.
type Occupancy struct{ Load, Slots float64 }

// NextPacked returns the index of the upstream that gets the next request of a packed
// share: the first one that is not filled yet, or the least loaded one.
func NextPacked(upstreams []Occupancy) int {
	least := 0
	for i, u := range upstreams {
		if u.Load < packedLoad*u.Slots {
			return i
		}
		if u.Load*upstreams[least].Slots < upstreams[least].Load*u.Slots {
			least = i
		}
	}
	return least
}

// Settled reports whether the version is good: trusted at the end of a schedule
// whose last stage has given it all requests.
func (s Schedule) Settled(elapsed time.Duration, trusted bool) bool {
	return trusted && float64(elapsed) >= settledAt*float64(s.Duration)
}

// Expired reports whether a version that is not settled has to be rolled back. A
// version that was not shown to be good in time keeps no part of the traffic.
func (s Schedule) Expired(elapsed time.Duration) bool {
	return float64(elapsed) >= expiredAt*float64(s.Duration)
}

// Trusted reports whether a version with this many outcomes may get a fixed
// share: it has enough outcomes and no strong evidence against it.
func Trusted(outcomes int, c *Comparisons) bool {
	return outcomes >= minTrustedOutcomes && c.RollBackReason() == "" && c.maxLevel() < maxTrustedLevel && !c.worse()
}

// worse reports whether the new version fails or is slow more often than the
// current one by more than is allowed. The rates are smoothed by adding one bad
// outcome of two, which raises the rate of a version with few outcomes.
func (c *Comparisons) worse() bool {
	rate := func(bad, all int) float64 { return (float64(bad) + 1) / (float64(all) + 2) }
	slowExcess := maxRateExcess
	if c.current.Paced > 0 {
		slowExcess = maxCachedSlowExcess
	}
	failureExcess := max(maxFailureExcess, minFailureExcess/float64(max(1, c.new.Outcomes)))
	return rate(c.new.Failed, c.new.Outcomes) > rate(c.current.Failed, c.current.Outcomes)+failureExcess ||
		rate(c.new.Slow, c.new.Outcomes) > rate(c.current.Slow, c.current.Outcomes)+slowExcess ||
		c.new.Paced >= minTrustedOutcomes && rate(c.new.LongPauses, c.new.Paced) > rate(c.current.LongPauses, c.current.Paced)+maxRateExcess
}

// UpstreamsForShare returns how many of a version's upstreams serve its share, so
// that each has the load that it would have at full traffic: some faults appear
// only under load.
func UpstreamsForShare(share float64, upstreams int) int {
	return min(upstreams, max(1, int(math.Ceil(share*float64(upstreams)))))
}
