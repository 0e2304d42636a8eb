package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/planner"
)

const (
	moveRuns          = 1000
	moveEntries       = 6
	moveTick          = 500 * time.Millisecond
	moveRequestRate   = 20.0
	baseFailureRate   = 0.005
	medianBaseLatency = 150 * time.Millisecond
	latencySigma      = 0.35
)

// moveRoute is a route of the modelled deployment.
type moveRoute struct {
	name   string
	share  float64
	target time.Duration
}

var moveRoutes = []moveRoute{
	{"chat", 0.6, 580 * time.Millisecond}, {"tag", 0.3, time.Second}, {"review", 0.1, time.Minute},
}

// versionFault is a fault of a new version: a failure rate or a factor on the
// time to the first token. It may begin some time after the start of the move,
// above a share of the traffic, or affect only one route.
type versionFault struct {
	name            string
	failureRate     float64
	slowdown        float64
	startsAfter     time.Duration
	minTrafficShare float64
	route           string
}

var versionFaults = []versionFault{
	{name: "good"},
	{name: "fails at once", failureRate: 1},
	{name: "fails 1 in 10", failureRate: 0.1},
	{name: "twice as slow", slowdown: 2},
	{name: "fails after 8 min", failureRate: 0.5, startsAfter: 8 * time.Minute},
	{name: "fails under load", failureRate: 0.5, minTrafficShare: 0.15},
	{name: "fails on one route", failureRate: 1, route: "tag"},
	{name: "slow under load", slowdown: 3, minTrafficShare: 0.15},
}

// matches reports whether the fault affects a request on a route, at a time
// since the start of the move and a traffic share of the new version.
func (f versionFault) matches(since time.Duration, share float64, route string) bool {
	if f.failureRate == 0 && f.slowdown == 0 {
		return false
	}
	return since >= f.startsAfter && share >= f.minTrafficShare && (f.route == "" || f.route == route)
}

// moveResult is the outcome of one simulated move. faultyRequests counts the
// requests that the fault affected.
type moveResult struct {
	state          string
	onTime         bool
	faultyRequests int
	requests       int
}

// moveJudge decides whether to roll a move back. It observes the outcomes of all
// entries.
type moveJudge interface {
	observe(entry, route int, newVersion bool, c mover.Counts)
	exchange()
	rollBackReason() string
	holdStep() bool
}

// comparisonJudge is the judge that entries run: per entry, a comparison of the
// versions on each route. An entry's own outcomes are added at once, those of
// other entries after an exchange.
type comparisonJudge struct {
	comparisons [moveEntries]mover.Comparisons
	unsent      [moveEntries][][2]mover.Counts
	reason      string
}

func newComparisonJudge() *comparisonJudge {
	j := &comparisonJudge{}
	for e := range moveEntries {
		j.unsent[e] = make([][2]mover.Counts, len(moveRoutes))
	}
	return j
}

func (j *comparisonJudge) addCounts(entry, route int, counts [2]mover.Counts) {
	comparisons := &j.comparisons[entry]
	comparisons.Observe(moveRoutes[route].name, counts[0], counts[1])
	if comparisons.RollBackReason() != "" && j.reason == "" {
		j.reason = comparisons.RollBackReason()
	}
}

func (j *comparisonJudge) observe(entry, route int, newVersion bool, c mover.Counts) {
	var counts [2]mover.Counts
	counts[boolIndex(newVersion)] = c
	j.addCounts(entry, route, counts)
	unsent := &j.unsent[entry][route][boolIndex(newVersion)]
	*unsent = unsent.Add(c)
}

func (j *comparisonJudge) exchange() {
	for e := range moveEntries {
		for r := range moveRoutes {
			update := j.unsent[e][r]
			j.unsent[e][r] = [2]mover.Counts{}
			for other := range moveEntries {
				if other != e && update != ([2]mover.Counts{}) {
					j.addCounts(other, r, update)
				}
			}
		}
	}
}

func (j *comparisonJudge) rollBackReason() string { return j.reason }

// holdStep returns whether the leader, which is the first entry, holds the step.
func (j *comparisonJudge) holdStep() bool { return j.comparisons[0].HoldStep() }

// thresholdJudge is the baseline: it rolls back at a fixed rate of failures or
// slow first tokens over a window of outcomes on all routes.
type thresholdJudge struct {
	window mover.Counts
	reason string
}

const (
	thresholdWindow      = 50
	thresholdFailureRate = 0.05
	thresholdSlowRate    = 0.25
)

func (j *thresholdJudge) observe(_, _ int, newVersion bool, c mover.Counts) {
	if !newVersion {
		return
	}
	j.window = j.window.Add(c)
	if j.window.Outcomes < thresholdWindow {
		return
	}
	if float64(j.window.Failed) > thresholdFailureRate*float64(j.window.Outcomes) || float64(j.window.Slow) > thresholdSlowRate*float64(j.window.Outcomes) {
		j.reason = "over the threshold"
	}
	j.window = mover.Counts{}
}

func (j *thresholdJudge) exchange()              {}
func (j *thresholdJudge) rollBackReason() string { return j.reason }
func (j *thresholdJudge) holdStep() bool         { return false }

func boolIndex(b bool) int {
	if b {
		return 1
	}
	return 0
}

// moveModel simulates one move. loadFactor and latencyFactor affect both
// versions.
type moveModel struct {
	random             *rand.Rand
	fault              versionFault
	policy             mover.Policy
	judge              moveJudge
	move               mover.Move
	latencyThresholds  [moveEntries][]mover.LatencyThreshold
	result             moveResult
	newOutcomes        int
	outcomesBeforeStep int
	loadFactor         float64
	latencyFactor      float64
}

func movePolicy(caution string, within, bake time.Duration) mover.Policy {
	cfg := planner.Plan(planner.Answers{
		Deployments: []planner.DeploymentAnswer{{Name: "d"}},
		Moves:       planner.MoveAnswer{Caution: caution, FinishWithin: planner.Duration(within), WatchAfter: planner.Duration(bake)},
	})
	return cfg.Deployments[0].Move.Policy()
}

func simulateMove(seed uint64, run int, fault versionFault, policy mover.Policy, within time.Duration, judge moveJudge) moveResult {
	m := &moveModel{random: newRandom(seed, run), fault: fault, policy: policy, judge: judge, loadFactor: 1, latencyFactor: 1}
	for e := range moveEntries {
		m.latencyThresholds[e] = make([]mover.LatencyThreshold, len(moveRoutes))
	}
	m.warmUp()
	m.move = mover.Start(epoch, mover.Move{ID: fmt.Sprint(run), Epoch: 1, From: "v1", To: "v2"}, "operator", within)
	for now := epoch; m.move.InProgress() && now.Before(epoch.Add(4*time.Hour)); now = now.Add(moveTick) {
		m.tick(now)
	}
	m.result.state = string(m.move.State)
	m.result.onTime = m.move.FullMS > 0 && m.move.FullMS <= m.move.DeadlineMS
	return m.result
}

// warmUp records first-token times of the current version on each entry and
// route.
func (m *moveModel) warmUp() {
	for e := range moveEntries {
		for r := range moveRoutes {
			for range 300 {
				m.latencyThresholds[e][r].Observe(lognormal(m.random, medianBaseLatency, latencySigma))
			}
		}
	}
}

func (m *moveModel) tick(now time.Time) {
	// Load and latency drift over minutes and affect both versions.
	m.loadFactor = 0.95*m.loadFactor + 0.05*(1+0.6*m.random.NormFloat64())
	m.latencyFactor = 0.98*m.latencyFactor + 0.02*(1+0.8*m.random.NormFloat64())
	mean := moveRequestRate * moveTick.Seconds() * max(0.2, m.loadFactor)
	for range poisson(m.random, mean) {
		m.request(now)
	}
	m.judge.exchange()
	evidence := mover.Evidence{Outcomes: m.newOutcomes - m.outcomesBeforeStep, RollBackReason: m.judge.rollBackReason(), HoldStep: m.judge.holdStep(), UpstreamsReady: true}
	next, event := mover.Advance(now, m.move, evidence, m.policy)
	if event != "" && next.Step != m.move.Step {
		m.outcomesBeforeStep = m.newOutcomes
	}
	m.move = next
}

func (m *moveModel) request(now time.Time) {
	m.result.requests++
	entry := m.random.IntN(moveEntries)
	route := m.pickRoute()
	share := mover.Share(m.move, m.policy)
	isNew := m.random.Float64() < share
	failureRate, latency := baseFailureRate, lognormal(m.random, medianBaseLatency, latencySigma)
	latency = time.Duration(float64(latency) * max(0.5, m.latencyFactor))
	if isNew && m.fault.matches(now.Sub(epoch), share, moveRoutes[route].name) {
		m.result.faultyRequests++
		if m.fault.failureRate > 0 {
			failureRate = m.fault.failureRate
		}
		if m.fault.slowdown > 0 {
			latency = time.Duration(float64(latency) * m.fault.slowdown)
		}
	}
	c := mover.Counts{Outcomes: 1}
	threshold := &m.latencyThresholds[entry][route]
	switch {
	case m.random.Float64() < failureRate:
		c.Failed = 1
	case latency > threshold.Threshold(mover.MinLatencyThreshold(moveRoutes[route].target, m.move.State == mover.Baking)):
		c.Slow = 1
	}
	if !isNew && c.Failed == 0 {
		threshold.Observe(latency)
	}
	if isNew {
		m.newOutcomes++
	}
	m.judge.observe(entry, route, isNew, c)
}

func (m *moveModel) pickRoute() int {
	u := m.random.Float64()
	for i, r := range moveRoutes {
		if u < r.share {
			return i
		}
		u -= r.share
	}
	return 0
}

// poisson returns a Poisson distributed number of arrivals.
func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for t := r.ExpFloat64(); t < mean; t += r.ExpFloat64() {
		n++
	}
	return n
}

// runMoves simulates many moves to good and bad versions, with the sequential
// test and with the baseline, under the answers of both firms.
func runMoves(cfg Config) error {
	runs := cfg.Runs
	if runs == 0 {
		runs = moveRuns
	}
	for _, firm := range []struct {
		name, caution string
		within, bake  time.Duration
	}{{"quiroga", "normal", 30 * time.Minute, 10 * time.Minute}, {"morsko", "high", 20 * time.Minute, 30 * time.Minute}} {
		policy := movePolicy(firm.caution, firm.within, firm.bake)
		rows := [][]string{cells("version|judge|moves|full in time|taken back|requests reached, median|worst|share of requests, median|worst")}
		for _, fault := range versionFaults {
			for _, judge := range []struct {
				name string
				make func() moveJudge
			}{
				{"sequential", func() moveJudge { return newComparisonJudge() }},
				{"threshold", func() moveJudge { return &thresholdJudge{} }},
			} {
				n := runs
				if fault.name != "good" {
					n = max(1, runs/5)
				}
				rows = append(rows, moveRow(cfg.Seed, n, fault, judge.name, judge.make, policy, firm.within))
			}
		}
		printTable(cfg.Out, fmt.Sprintf("version moves, %s's answers, %.0f requests/s, seed %d", firm.name, moveRequestRate, cfg.Seed), rows...)
	}
	return nil
}

func moveRow(seed uint64, n int, fault versionFault, name string, make func() moveJudge, policy mover.Policy, within time.Duration) []string {
	onTime, rolledBack := 0, 0
	var faultyRequests []int
	var shares []float64
	results := runParallel(n, func(run int) moveResult {
		return simulateMove(seed, run, fault, policy, within, make())
	})
	for _, r := range results {
		if r.onTime {
			onTime++
		}
		if r.state == string(mover.RolledBack) {
			rolledBack++
		}
		faultyRequests = append(faultyRequests, r.faultyRequests)
		shares = append(shares, float64(r.faultyRequests)/float64(max(1, r.requests)))
	}
	percent := func(k int) float64 { return 100 * float64(k) / float64(n) }
	return cells("%s|%s|%d|%.1f%%|%.1f%%|%d|%d|%.2f%%|%.2f%%", fault.name, name, n, percent(onTime), percent(rolledBack),
		quantile(faultyRequests, 0.5), quantile(faultyRequests, 1), 100*quantile(shares, 0.5), 100*quantile(shares, 1))
}
