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

// versionFault is one way in which a new version is bad.
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

// matches reports whether the fault shows on a request.
func (f versionFault) matches(since time.Duration, share float64, route string) bool {
	if f.failureRate == 0 && f.slowdown == 0 {
		return false
	}
	return since >= f.startsAfter && share >= f.minTrafficShare && (f.route == "" || f.route == route)
}

// moveResult is what became of one modelled move.
type moveResult struct {
	state          string
	onTime         bool
	faultyRequests int
	requests       int
}

// moveJudge decides on taking a move back; it sees each outcome of an entry.
type moveJudge interface {
	observe(entry, route int, next bool, c mover.Counts)
	exchange()
	rollBackReason() string
	holdStep() bool
}

// comparisonJudge is what entries run: a watch for each entry and route, fed with
// the entry's own outcomes at once and with others' after an exchange.
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
	w := &j.comparisons[entry]
	w.Observe(moveRoutes[route].name, counts[0], counts[1])
	if w.RollBackReason() != "" && j.reason == "" {
		j.reason = w.RollBackReason()
	}
}

func (j *comparisonJudge) observe(entry, route int, next bool, c mover.Counts) {
	var counts [2]mover.Counts
	counts[boolIndex(next)] = c
	j.addCounts(entry, route, counts)
	at := &j.unsent[entry][route][boolIndex(next)]
	*at = at.Add(c)
}

func (j *comparisonJudge) exchange() {
	for e := range moveEntries {
		for r := range moveRoutes {
			news := j.unsent[e][r]
			j.unsent[e][r] = [2]mover.Counts{}
			for other := range moveEntries {
				if other != e && news != ([2]mover.Counts{}) {
					j.addCounts(other, r, news)
				}
			}
		}
	}
}

func (j *comparisonJudge) rollBackReason() string { return j.reason }

// holdStep is the duty's holder's, which is the first entry.
func (j *comparisonJudge) holdStep() bool { return j.comparisons[0].HoldStep() }

// thresholdJudge is the plain baseline: over a window of outcomes of all
// routes it takes a version back at a fixed rate of failures or late tokens.
type thresholdJudge struct {
	window mover.Counts
	reason string
}

const (
	thresholdWindow      = 50
	thresholdFailureRate = 0.05
	thresholdSlowRate    = 0.25
)

func (j *thresholdJudge) observe(_, _ int, next bool, c mover.Counts) {
	if !next {
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

// moveModel is one move under way.
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

// warmUp lets the entries learn the present version's first-token times.
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
	// Load and trouble that hit both versions drift over minutes.
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
	isNext := m.random.Float64() < share
	failures, latency := baseFailureRate, lognormal(m.random, medianBaseLatency, latencySigma)
	latency = time.Duration(float64(latency) * max(0.5, m.latencyFactor))
	if isNext && m.fault.matches(now.Sub(epoch), share, moveRoutes[route].name) {
		m.result.faultyRequests++
		if m.fault.failureRate > 0 {
			failures = m.fault.failureRate
		}
		if m.fault.slowdown > 0 {
			latency = time.Duration(float64(latency) * m.fault.slowdown)
		}
	}
	c := mover.Counts{Outcomes: 1}
	mark := &m.latencyThresholds[entry][route]
	switch {
	case m.random.Float64() < failures:
		c.Failed = 1
	case latency > mark.Threshold(mover.MinLatencyThreshold(moveRoutes[route].target, m.move.State == mover.Baking)):
		c.Slow = 1
	}
	if !isNext && c.Failed == 0 {
		mark.Observe(latency)
	}
	if isNext {
		m.newOutcomes++
	}
	m.judge.observe(entry, route, isNext, c)
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

// poisson draws a number of arrivals.
func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for t := r.ExpFloat64(); t < mean; t += r.ExpFloat64() {
		n++
	}
	return n
}

// runMoves moves to good and bad versions many times, with the sequential test
// and with the plain baseline, under both firms' answers.
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
	inTime, back := 0, 0
	var reached []int
	var shares []float64
	results := runParallel(n, func(run int) moveResult {
		return simulateMove(seed, run, fault, policy, within, make())
	})
	for _, r := range results {
		if r.onTime {
			inTime++
		}
		if r.state == string(mover.RolledBack) {
			back++
		}
		reached = append(reached, r.faultyRequests)
		shares = append(shares, float64(r.faultyRequests)/float64(max(1, r.requests)))
	}
	percent := func(k int) float64 { return 100 * float64(k) / float64(n) }
	return cells("%s|%s|%d|%.1f%%|%.1f%%|%d|%d|%.2f%%|%.2f%%", fault.name, name, n, percent(inTime), percent(back),
		quantile(reached, 0.5), quantile(reached, 1), 100*quantile(shares, 0.5), 100*quantile(shares, 1))
}
