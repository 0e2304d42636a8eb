package mover

import (
	"math"
	"time"
)

// Schedule moves traffic within a fixed time, where operators bound what a bad
// version may be exposed to. The share follows from the time since the order
// alone, so that entries agree on it without asking each other.
type Schedule struct {
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// MaxExposure is the share of all requests in that time that a version that
	// turns out bad may have had.
	MaxExposure float64
}

// usableAllowance is the part of what operators allow beyond a share that a schedule
// counts on; the rest covers requests on their way when a version is taken back.
const usableAllowance = 0.6

// MaxExposure returns the exposure where operators allow a share of all requests and
// some beyond it, at a rate of requests. Little traffic gets a larger share, or
// nothing would be known of the version in time.
func MaxExposure(share, extra, perSecond float64, within time.Duration) float64 {
	if all := perSecond * within.Seconds(); all > 0 {
		share += usableAllowance * extra / all
	}
	return min(share, exposureLimit)
}

// exposureLimit bounds the exposure however little traffic there is.
const exposureLimit = 0.4

// stage is a part of a schedule. Its share is a part of the exposure, or, where
// that is zero, whole in itself.
type stage struct {
	// end is when it ends, as a part of Within.
	end           float64
	exposureShare float64
	fixedShare    float64
}

// The version is first watched with little traffic for over half of the time, as
// some faults come late. The steps after that are so short that a fault that
// shows only under more load is seen before the exposure is used up. The old
// version's requests end during the last one.
var stages = []stage{
	{end: 0.12, exposureShare: 0.3},
	{end: 0.56, exposureShare: 0.6},
	{end: 0.64, fixedShare: 0.2},
	{end: 1, fixedShare: 1},
}

const (
	// settledAt is when all is done, as a part of Within: the rest is for the
	// report.
	settledAt = 0.86
	// expiredAt is when a version that could not be settled is taken back.
	expiredAt = 0.94
	// maxTrustedLevel is the evidence from which on a version keeps a small share.
	// It lies above doubtLevel: there is no time to wait until chance has passed.
	maxTrustedLevel = 100.0
	// maxRateExcess is how much larger the share of failed or slow requests of the
	// new version may be for it to be trusted with more.
	maxRateExcess = 0.2
	// minTrustedOutcomes is the number of outcomes of the new version without which it is
	// not trusted with a larger share.
	minTrustedOutcomes = 20
)

// Share returns the share of requests for the new version when some time has
// passed since the order. Trusted says that there is evidence for the version
// and none against it: without that the share stays small.
func (s Schedule) Share(passed time.Duration, trusted bool) float64 {
	if s.Duration <= 0 {
		return 0
	}
	at := float64(passed) / float64(s.Duration)
	for i, stage := range stages {
		if at >= stage.end && i < len(stages)-1 {
			continue
		}
		if stage.fixedShare > 0 && trusted {
			return stage.fixedShare
		}
		if stage.fixedShare > 0 {
			return stages[0].exposureShare * s.MaxExposure
		}
		return stage.exposureShare * s.MaxExposure
	}
	return 0
}

// Settled reports whether the version has had all requests for long enough to be
// called good.
func (s Schedule) Settled(passed time.Duration, trusted bool) bool {
	return trusted && float64(passed) >= settledAt*float64(s.Duration)
}

// Expired reports whether a version that is not settled is to be taken back: what
// could not be told good in time is not left half in use.
func (s Schedule) Expired(passed time.Duration) bool {
	return float64(passed) >= expiredAt*float64(s.Duration)
}

// Trusted reports whether what was seen of a version allows it more traffic.
func Trusted(outcomes int, w *Comparisons) bool {
	return outcomes >= minTrustedOutcomes && w.RollBackReason() == "" && w.maxLevel() < maxTrustedLevel && !w.worse()
}

// worse reports whether the new version fails or is slow clearly more often than
// the present one, by what was seen of both; little evidence counts against it.
func (w *Comparisons) worse() bool {
	share := func(bad, all int) float64 { return (float64(bad) + 1) / (float64(all) + 2) }
	return share(w.new.Failed, w.new.Outcomes) > share(w.current.Failed, w.current.Outcomes)+maxRateExcess ||
		share(w.new.Slow, w.new.Outcomes) > share(w.current.Slow, w.current.Outcomes)+maxRateExcess
}

// UpstreamsForShare returns how many of a version's upstreams get its share, so that each
// is loaded as it would be with all requests: some faults show only under load.
func UpstreamsForShare(share float64, upstreams int) int {
	return min(upstreams, max(1, int(math.Ceil(share*float64(upstreams)))))
}
