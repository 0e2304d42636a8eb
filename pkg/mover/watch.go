package mover

import (
	"fmt"
	"math"
	"time"
)

const (
	// rollBackLevel is the evidence at which a version is called bad: the bound on
	// false alarms for each outcome seen is its inverse.
	rollBackLevel = 1e5
	// holdLevel is the evidence at which a version is not trusted with a
	// larger share until the evidence has gone down again.
	holdLevel = 5.0
	// failureMargin is how much more of its requests the new version may fail
	// than the present one.
	failureMargin = 0.01
	// slowMargin is the same for late first tokens.
	slowMargin = 0.08
	// baselineFactor multiplies the present version's rate before the margin.
	baselineFactor = 1.3
	// priorCount and priorBad stand for what is known of the present version
	// before any outcome.
	priorCount = 20.0
	priorBad   = 0.2
	// maxBaselineCount is the number of outcomes after which older ones of the
	// present version start to fade.
	maxBaselineCount = 2000.0
	// thresholdFactor times the present version's 90th percentile is late.
	thresholdFactor = 1.3
	// minThresholdShare is the share of a route's target below which a first token is
	// never late.
	minThresholdShare = 0.25
	// quantile is the tracked quantile of first-token times.
	quantile = 0.90
)

// Counts are outcomes of one version on one route.
type Counts struct {
	Outcomes int `json:"outcomes"`
	Failed   int `json:"failed"`
	Slow     int `json:"slow"`
}

// Sub returns the counts that c has beyond earlier.
func (c Counts) Sub(earlier Counts) Counts {
	return Counts{Outcomes: c.Outcomes - earlier.Outcomes, Failed: c.Failed - earlier.Failed, Slow: c.Slow - earlier.Slow}
}

// Add returns the sum of two counts.
func (c Counts) Add(other Counts) Counts {
	return Counts{Outcomes: c.Outcomes + other.Outcomes, Failed: c.Failed + other.Failed, Slow: c.Slow + other.Slow}
}

// betFractions are the stakes of the test, as shares of the largest that can't lose
// everything on one good outcome.
var betFractions = [...]float64{0.1, 0.35, 0.7}

// rateTest tests whether a rate of bad outcomes lies above the baseline's.
// Its level starts anew at 1 whenever it falls below, so faults that come late
// are found as fast as early ones.
type rateTest struct {
	baselineCount float64
	baselineBad   float64
	logWealth     [len(betFractions)]float64
}

func (t *rateTest) addBaseline(count, bad float64) {
	t.baselineCount += count
	t.baselineBad += bad
	if t.baselineCount > maxBaselineCount {
		t.baselineCount /= 2
		t.baselineBad /= 2
	}
}

func (t *rateTest) nullRate(margin float64) float64 {
	rate := (t.baselineBad + priorBad) / (t.baselineCount + priorCount)
	return math.Min(0.95, rate*baselineFactor+margin)
}

func (t *rateTest) observe(count, bad int, margin float64) {
	p := t.nullRate(margin)
	for j, bet := range betFractions {
		stake := bet / p
		win := math.Log1p(stake * (1 - p))
		lose := math.Log1p(-stake * p)
		t.logWealth[j] = math.Max(0, t.logWealth[j]+float64(bad)*win+float64(count-bad)*lose)
	}
}

// level returns the mean of the bets' wealth.
func (t *rateTest) level() float64 {
	sum := 0.0
	for _, l := range t.logWealth {
		sum += math.Exp(math.Min(l, 100))
	}
	return sum / float64(len(betFractions))
}

// Comparison compares the new version with the present one on one route. The zero
// value is useful.
type Comparison struct {
	failures rateTest
	slowness rateTest
	reason   string
}

// Observe takes outcomes of the present and the new version of the same period.
func (w *Comparison) Observe(present, next Counts) {
	w.failures.addBaseline(float64(present.Outcomes), float64(present.Failed))
	w.slowness.addBaseline(float64(present.Outcomes), float64(present.Slow))
	w.failures.observe(next.Outcomes, next.Failed, failureMargin)
	w.slowness.observe(next.Outcomes, next.Slow, slowMargin)
	if w.reason != "" {
		return
	}
	switch {
	case w.failures.level() >= rollBackLevel:
		w.reason = fmt.Sprintf("failures above %.1f%%", 100*w.failures.nullRate(failureMargin))
	case w.slowness.level() >= rollBackLevel:
		w.reason = fmt.Sprintf("late first tokens above %.1f%%", 100*w.slowness.nullRate(slowMargin))
	}
}

// HoldStep reports whether the evidence against the new version is too strong for
// a larger share.
func (w *Comparison) HoldStep() bool {
	return w.failures.level() >= holdLevel || w.slowness.level() >= holdLevel
}

// RollBackReason returns why the new version is bad, or an empty string.
func (w *Comparison) RollBackReason() string { return w.reason }

// Comparisons compare two versions on each route and on all routes together: a
// fault of one route shows soonest on its own, a slight fault of all of them in
// their sum. The zero value is useful.
type Comparisons struct {
	all     Comparison
	byRoute map[string]*Comparison
	current Counts
	new     Counts
}

// Observe takes outcomes on a route.
func (w *Comparisons) Observe(route string, present, next Counts) {
	if w.byRoute == nil {
		w.byRoute = map[string]*Comparison{}
	}
	own, ok := w.byRoute[route]
	if !ok {
		own = &Comparison{}
		w.byRoute[route] = own
	}
	own.Observe(present, next)
	w.all.Observe(present, next)
	w.current, w.new = w.current.Add(present), w.new.Add(next)
}

// RollBackReason returns why the new version is bad, or an empty string.
func (w *Comparisons) RollBackReason() string {
	for route, own := range w.byRoute {
		if reason := own.RollBackReason(); reason != "" {
			return reason + " on route " + route
		}
	}
	if reason := w.all.RollBackReason(); reason != "" {
		return reason + " over all routes, most on route " + w.worstRoute()
	}
	return ""
}

// worstRoute returns the route with the strongest evidence against the new version.
func (w *Comparisons) worstRoute() string {
	name, strongest := "", -1.0
	for route, own := range w.byRoute {
		level := max(own.failures.level(), own.slowness.level())
		if level > strongest || level == strongest && route < name {
			name, strongest = route, level
		}
	}
	return name
}

// maxLevel returns the strongest evidence of any comparison.
func (w *Comparisons) maxLevel() float64 {
	level := max(w.all.failures.level(), w.all.slowness.level())
	for _, own := range w.byRoute {
		level = max(level, own.failures.level(), own.slowness.level())
	}
	return level
}

// HoldStep reports whether any comparison is in doubt of the new version.
func (w *Comparisons) HoldStep() bool {
	for _, own := range w.byRoute {
		if own.HoldStep() {
			return true
		}
	}
	return w.all.HoldStep()
}

// LatencyThreshold tracks the first-token time above which an answer counts as late:
// a factor times the present version's 90th percentile, found by stochastic
// approximation. The zero value is useful.
type LatencyThreshold struct {
	estimate float64
	count    int
}

// Observe takes a first-token time of the present version.
func (l *LatencyThreshold) Observe(d time.Duration) {
	l.count++
	x := float64(d)
	if l.count == 1 {
		l.estimate = x
		return
	}
	step := l.estimate * math.Max(0.01, 0.5/float64(l.count))
	if x > l.estimate {
		l.estimate += step * quantile
	} else {
		l.estimate -= step * (1 - quantile)
	}
}

// Threshold returns the time above which a first token is late; floor is the least
// that it can be.
func (l *LatencyThreshold) Threshold(floor time.Duration) time.Duration {
	return max(floor, time.Duration(l.estimate*thresholdFactor))
}

// MinLatencyThreshold returns the least time at which a first token is late on a route
// with the given target. While the new version bakes, the present one has no
// traffic to compare with, so only the target itself counts.
func MinLatencyThreshold(target time.Duration, baking bool) time.Duration {
	if baking {
		return target
	}
	return time.Duration(float64(target) * minThresholdShare)
}
