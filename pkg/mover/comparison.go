package mover

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// rollBackLevel is the evidence level at which a version is rolled back. Its
	// inverse bounds the false alarms per observed outcome.
	rollBackLevel = 1e5
	// holdLevel is the evidence level from which on a move stays at its step, until
	// the level has fallen below it again.
	holdLevel = 5.0
	// failureMargin is the allowed excess of the new version's failure rate over
	// the current version's.
	failureMargin = 0.01
	// slowMargin is the same for the rate of late first tokens.
	slowMargin = 0.08
	// cachedSlowMargin replaces slowMargin where pauses are compared. The first token
	// also depends on the engine's cache of prompts, which is empty on new upstreams.
	cachedSlowMargin = 0.35
	// pauseMargin is the same for the rate of streams with long pauses.
	pauseMargin = 0.08
	// baselineFactor multiplies the current version's rate before the margin is
	// added.
	baselineFactor = 1.3
	// priorCount and priorBad are outcomes assumed of the current version before
	// any is observed.
	priorCount = 20.0
	priorBad   = 0.2
	// maxBaselineCount is the number of outcomes of the current version above
	// which the counts are halved, so that older outcomes weigh less.
	maxBaselineCount = 2000.0
	// thresholdFactor times the current version's 90th percentile is the latency
	// threshold.
	thresholdFactor = 1.3
	// minThresholdShare is the share of a route's target below which a first
	// token is never late.
	minThresholdShare = 0.25
)

// Counts are the outcomes of one version on one route. Slow counts late first
// tokens. Paced counts streams whose pauses were measured, LongPauses those of
// them with long pauses.
type Counts struct {
	Outcomes   int `json:"outcomes"`
	Failed     int `json:"failed"`
	Slow       int `json:"slow"`
	Paced      int `json:"paced,omitempty"`
	LongPauses int `json:"long_pauses,omitempty"`
}

// Sub returns the difference of c and earlier counts.
func (c Counts) Sub(earlier Counts) Counts {
	return Counts{
		Outcomes: c.Outcomes - earlier.Outcomes, Failed: c.Failed - earlier.Failed, Slow: c.Slow - earlier.Slow,
		Paced: c.Paced - earlier.Paced, LongPauses: c.LongPauses - earlier.LongPauses,
	}
}

// Add returns the sum of c and other.
func (c Counts) Add(other Counts) Counts {
	return Counts{
		Outcomes: c.Outcomes + other.Outcomes, Failed: c.Failed + other.Failed, Slow: c.Slow + other.Slow,
		Paced: c.Paced + other.Paced, LongPauses: c.LongPauses + other.LongPauses,
	}
}

// betFractions are the bets of the test, as fractions of the largest stake that
// can't lose all wealth on one good outcome.
var betFractions = [...]float64{0.1, 0.35, 0.7}

// rateTest is a sequential betting test of whether a rate of bad outcomes is
// above the baseline's rate. The wealth of each bet restarts at 1 whenever it
// falls below 1, so that a fault that appears late is found as fast as an early
// one.
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

// nullRate returns the highest rate of bad outcomes that counts as no worse than
// the baseline.
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

// level returns the evidence that the rate is above the null rate: the mean
// wealth of the bets.
func (t *rateTest) level() float64 {
	total := 0.0
	for _, l := range t.logWealth {
		total += math.Exp(math.Min(l, 100))
	}
	return total / float64(len(betFractions))
}

// Comparison compares the new version with the current one on one route. The
// zero value is ready to use.
type Comparison struct {
	failures rateTest
	slowness rateTest
	pauses   rateTest
	// paced reports that pauses are compared, on any route.
	paced  bool
	reason string
}

// Observe adds outcomes of the current and the new version over the same period.
func (c *Comparison) Observe(currentCounts, newCounts Counts) {
	c.failures.addBaseline(float64(currentCounts.Outcomes), float64(currentCounts.Failed))
	c.slowness.addBaseline(float64(currentCounts.Outcomes), float64(currentCounts.Slow))
	c.paced = c.paced || currentCounts.Paced > 0
	c.pauses.addBaseline(float64(currentCounts.Paced), float64(currentCounts.LongPauses))
	c.failures.observe(newCounts.Outcomes, newCounts.Failed, failureMargin)
	c.slowness.observe(newCounts.Outcomes, newCounts.Slow, c.slowMargin())
	c.pauses.observe(newCounts.Paced, newCounts.LongPauses, pauseMargin)
	if c.reason != "" {
		return
	}
	switch {
	case c.failures.level() >= rollBackLevel:
		c.reason = fmt.Sprintf("failures above %.1f%%", 100*c.failures.nullRate(failureMargin))
	case c.slowness.level() >= rollBackLevel:
		c.reason = fmt.Sprintf("late first tokens above %.1f%%", 100*c.slowness.nullRate(c.slowMargin()))
	case c.pauses.level() >= rollBackLevel:
		c.reason = fmt.Sprintf("streams with long pauses above %.1f%%", 100*c.pauses.nullRate(pauseMargin))
	}
}

// slowMargin returns the margin of the rate of late first tokens.
func (c *Comparison) slowMargin() float64 {
	if c.paced {
		return cachedSlowMargin
	}
	return slowMargin
}

// HoldStep reports whether the evidence against the new version is too strong for
// the next step.
func (c *Comparison) HoldStep() bool { return c.level() >= holdLevel }

// level returns the strongest evidence of the tests.
func (c *Comparison) level() float64 {
	return max(c.failures.level(), c.slowness.level(), c.pauses.level())
}

// RollBackReason returns why the new version has to be rolled back, or an empty
// string.
func (c *Comparison) RollBackReason() string { return c.reason }

// Comparisons compares two versions on each route and on all routes together. The
// comparison of one route finds a fault of that route soonest, and the comparison
// of all routes finds a slight fault of all of them. The zero value is ready to
// use.
type Comparisons struct {
	all     Comparison
	byRoute map[string]*Comparison
	current Counts
	new     Counts
}

// Observe adds outcomes of both versions on a route.
func (c *Comparisons) Observe(route string, currentCounts, newCounts Counts) {
	if c.byRoute == nil {
		c.byRoute = map[string]*Comparison{}
	}
	comparison, ok := c.byRoute[route]
	if !ok {
		comparison = &Comparison{}
		c.byRoute[route] = comparison
	}
	c.all.Observe(currentCounts, newCounts)
	comparison.paced = c.all.paced
	comparison.Observe(currentCounts, newCounts)
	c.current, c.new = c.current.Add(currentCounts), c.new.Add(newCounts)
}

// RollBackReason returns why the new version has to be rolled back and on which
// route, or an empty string.
func (c *Comparisons) RollBackReason() string {
	for route, comparison := range c.byRoute {
		if reason := comparison.RollBackReason(); reason != "" {
			return reason + " on route " + route
		}
	}
	if reason := c.all.RollBackReason(); reason != "" {
		return reason + " over all routes, most on route " + c.worstRoute()
	}
	return ""
}

// worstRoute returns the route with the strongest evidence against the new
// version.
func (c *Comparisons) worstRoute() string {
	name, strongest := "", -1.0
	for route, comparison := range c.byRoute {
		level := comparison.level()
		if level > strongest || level == strongest && route < name {
			name, strongest = route, level
		}
	}
	return name
}

// maxLevel returns the highest evidence level of all comparisons.
func (c *Comparisons) maxLevel() float64 {
	level := c.all.level()
	for _, comparison := range c.byRoute {
		level = max(level, comparison.level())
	}
	return level
}

// Level is the evidence against the new version of one test.
type Level struct {
	// Route is empty for the test over all routes.
	Route string
	// Kind names the outcomes that are tested.
	Kind string
	// Level is the evidence, and NullRate the highest rate that counts as no worse
	// than the current version's.
	Level, NullRate float64
}

// Levels returns the evidence of all tests, the strongest first.
func (c *Comparisons) Levels() []Level {
	levels := c.all.levels("")
	for route, comparison := range c.byRoute {
		levels = append(levels, comparison.levels(route)...)
	}
	slices.SortFunc(levels, func(a, b Level) int {
		return cmp.Or(cmp.Compare(b.Level, a.Level), strings.Compare(a.Route, b.Route), strings.Compare(a.Kind, b.Kind))
	})
	return levels
}

func (c *Comparison) levels(route string) []Level {
	return []Level{
		{Route: route, Kind: "failures", Level: c.failures.level(), NullRate: c.failures.nullRate(failureMargin)},
		{Route: route, Kind: "late first tokens", Level: c.slowness.level(), NullRate: c.slowness.nullRate(c.slowMargin())},
		{Route: route, Kind: "long pauses", Level: c.pauses.level(), NullRate: c.pauses.nullRate(pauseMargin)},
	}
}

// Totals returns the outcomes of both versions on all routes.
func (c *Comparisons) Totals() (currentCounts, newCounts Counts) { return c.current, c.new }

// HoldStep reports whether any of the comparisons holds the move at its step.
func (c *Comparisons) HoldStep() bool {
	for _, comparison := range c.byRoute {
		if comparison.HoldStep() {
			return true
		}
	}
	return c.all.HoldStep()
}

// LatencyThreshold tracks the first-token time above which a response is late: a
// factor times the current version's 90th percentile. The zero value is ready to
// use.
type LatencyThreshold struct{ quantile Quantile }

// Observe adds a first-token time of the current version.
func (l *LatencyThreshold) Observe(d time.Duration) { l.quantile.Observe(float64(d)) }

// Threshold returns the time above which a first token is late, at least floor.
func (l *LatencyThreshold) Threshold(floor time.Duration) time.Duration {
	return max(floor, time.Duration(l.quantile.Value()*thresholdFactor))
}

// MinLatencyThreshold returns the lower bound of the latency threshold on a route
// with the given target. While the new version bakes, the old one has no traffic
// to compare with, so the target itself is the bound.
func MinLatencyThreshold(target time.Duration, baking bool) time.Duration {
	if baking {
		return target
	}
	return time.Duration(float64(target) * minThresholdShare)
}
