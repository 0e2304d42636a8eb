package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/planner"
)

const (
	moveRuns     = 1000
	moveEntries  = 6
	moveTick     = 500 * time.Millisecond
	moveRate     = 20.0
	baseFailures = 0.005
	baseLatency  = 150 * time.Millisecond
	latencySigma = 0.35
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
	name     string
	failures float64
	slowdown float64
	after    time.Duration
	overLoad float64
	route    string
}

var versionFaults = []versionFault{
	{name: "good"},
	{name: "fails at once", failures: 1},
	{name: "fails 1 in 10", failures: 0.1},
	{name: "twice as slow", slowdown: 2},
	{name: "fails after 8 min", failures: 0.5, after: 8 * time.Minute},
	{name: "fails under load", failures: 0.5, overLoad: 0.15},
	{name: "fails on one route", failures: 1, route: "tag"},
	{name: "slow under load", slowdown: 3, overLoad: 0.15},
}

// hits reports whether the fault shows on a request.
func (f versionFault) hits(since time.Duration, share float64, route string) bool {
	if f.failures == 0 && f.slowdown == 0 {
		return false
	}
	return since >= f.after && share >= f.overLoad && (f.route == "" || f.route == route)
}

// moveResult is what became of one modelled move.
type moveResult struct {
	state   string
	inTime  bool
	reached int
	served  int
}

// judgeMove decides on taking a move back; it sees each outcome of an entry.
type judgeMove interface {
	see(entry, route int, next bool, c mover.Counts)
	exchange()
	tripped() string
	doubt() bool
}

// watchJudge is what entries run: a watch for each entry and route, fed with
// the entry's own outcomes at once and with others' after an exchange.
type watchJudge struct {
	watches [moveEntries]mover.Comparisons
	fresh   [moveEntries][][2]mover.Counts
	trip    string
}

func newWatchJudge() *watchJudge {
	j := &watchJudge{}
	for e := range moveEntries {
		j.fresh[e] = make([][2]mover.Counts, len(moveRoutes))
	}
	return j
}

func (j *watchJudge) feed(entry, route int, counts [2]mover.Counts) {
	w := &j.watches[entry]
	w.Observe(moveRoutes[route].name, counts[0], counts[1])
	if w.RollBackReason() != "" && j.trip == "" {
		j.trip = w.RollBackReason()
	}
}

func (j *watchJudge) see(entry, route int, next bool, c mover.Counts) {
	var counts [2]mover.Counts
	counts[boolIndex(next)] = c
	j.feed(entry, route, counts)
	at := &j.fresh[entry][route][boolIndex(next)]
	*at = at.Add(c)
}

func (j *watchJudge) exchange() {
	for e := range moveEntries {
		for r := range moveRoutes {
			news := j.fresh[e][r]
			j.fresh[e][r] = [2]mover.Counts{}
			for other := range moveEntries {
				if other != e && news != ([2]mover.Counts{}) {
					j.feed(other, r, news)
				}
			}
		}
	}
}

func (j *watchJudge) tripped() string { return j.trip }

// doubt is the duty's holder's, which is the first entry.
func (j *watchJudge) doubt() bool { return j.watches[0].HoldStep() }

// thresholdJudge is the plain baseline: over a window of outcomes of all
// routes it takes a version back at a fixed rate of failures or late tokens.
type thresholdJudge struct {
	window mover.Counts
	trip   string
}

const (
	thresholdWindow = 50
	thresholdRate   = 0.05
	thresholdLate   = 0.25
)

func (j *thresholdJudge) see(_, _ int, next bool, c mover.Counts) {
	if !next {
		return
	}
	j.window = j.window.Add(c)
	if j.window.Outcomes < thresholdWindow {
		return
	}
	if float64(j.window.Failed) > thresholdRate*float64(j.window.Outcomes) || float64(j.window.Slow) > thresholdLate*float64(j.window.Outcomes) {
		j.trip = "over the threshold"
	}
	j.window = mover.Counts{}
}

func (j *thresholdJudge) exchange()       {}
func (j *thresholdJudge) tripped() string { return j.trip }
func (j *thresholdJudge) doubt() bool     { return false }

func boolIndex(b bool) int {
	if b {
		return 1
	}
	return 0
}

// moveModel is one move under way.
type moveModel struct {
	random  *rand.Rand
	fault   versionFault
	policy  mover.Policy
	judge   judgeMove
	move    mover.Move
	late    [moveEntries][]mover.LatencyThreshold
	results moveResult
	seen    int
	atStep  int
	weather float64
	slowAll float64
}

func movePolicy(caution string, within, bake time.Duration) mover.Policy {
	cfg := planner.Plan(planner.Answers{
		Deployments: []planner.DeploymentAnswer{{Name: "d"}},
		Moves:       planner.MoveAnswer{Caution: caution, FinishWithin: planner.Duration(within), WatchAfter: planner.Duration(bake)},
	})
	return cfg.Deployments[0].Move.Policy()
}

func simulateMove(seed uint64, run int, fault versionFault, policy mover.Policy, within time.Duration, judge judgeMove) moveResult {
	m := &moveModel{random: newRandom(seed, run), fault: fault, policy: policy, judge: judge, weather: 1, slowAll: 1}
	for e := range moveEntries {
		m.late[e] = make([]mover.LatencyThreshold, len(moveRoutes))
	}
	m.warmUp()
	m.move = mover.Start(epoch, mover.Move{ID: fmt.Sprint(run), Epoch: 1, From: "v1", To: "v2"}, "operator", within)
	for now := epoch; m.move.InProgress() && now.Before(epoch.Add(4*time.Hour)); now = now.Add(moveTick) {
		m.tick(now)
	}
	m.results.state = string(m.move.State)
	m.results.inTime = m.move.FullMS > 0 && m.move.FullMS <= m.move.DeadlineMS
	return m.results
}

// warmUp lets the entries learn the present version's first-token times.
func (m *moveModel) warmUp() {
	for e := range moveEntries {
		for r := range moveRoutes {
			for range 300 {
				m.late[e][r].Observe(lognormal(m.random, baseLatency, latencySigma))
			}
		}
	}
}

func (m *moveModel) tick(now time.Time) {
	// Load and trouble that hit both versions drift over minutes.
	m.weather = 0.95*m.weather + 0.05*(1+0.6*m.random.NormFloat64())
	m.slowAll = 0.98*m.slowAll + 0.02*(1+0.8*m.random.NormFloat64())
	mean := moveRate * moveTick.Seconds() * max(0.2, m.weather)
	for range poisson(m.random, mean) {
		m.request(now)
	}
	m.judge.exchange()
	evidence := mover.Evidence{Outcomes: m.seen - m.atStep, RollBackReason: m.judge.tripped(), HoldStep: m.judge.doubt(), UpstreamsReady: true}
	next, event := mover.Advance(now, m.move, evidence, m.policy)
	if event != "" && next.Step != m.move.Step {
		m.atStep = m.seen
	}
	m.move = next
}

func (m *moveModel) request(now time.Time) {
	m.results.served++
	entry := m.random.IntN(moveEntries)
	route := m.pickRoute()
	share := mover.Share(m.move, m.policy)
	isNext := m.random.Float64() < share
	failures, latency := baseFailures, lognormal(m.random, baseLatency, latencySigma)
	latency = time.Duration(float64(latency) * max(0.5, m.slowAll))
	if isNext && m.fault.hits(now.Sub(epoch), share, moveRoutes[route].name) {
		m.results.reached++
		if m.fault.failures > 0 {
			failures = m.fault.failures
		}
		if m.fault.slowdown > 0 {
			latency = time.Duration(float64(latency) * m.fault.slowdown)
		}
	}
	c := mover.Counts{Outcomes: 1}
	mark := &m.late[entry][route]
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
		m.seen++
	}
	m.judge.see(entry, route, isNext, c)
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
				make func() judgeMove
			}{
				{"sequential", func() judgeMove { return newWatchJudge() }},
				{"threshold", func() judgeMove { return &thresholdJudge{} }},
			} {
				n := runs
				if fault.name != "good" {
					n = max(1, runs/5)
				}
				rows = append(rows, moveRow(cfg.Seed, n, fault, judge.name, judge.make, policy, firm.within))
			}
		}
		printTable(cfg.Out, fmt.Sprintf("version moves, %s's answers, %.0f requests/s, seed %d", firm.name, moveRate, cfg.Seed), rows...)
	}
	return nil
}

func moveRow(seed uint64, n int, fault versionFault, name string, make func() judgeMove, policy mover.Policy, within time.Duration) []string {
	inTime, back := 0, 0
	var reached []int
	var shares []float64
	results := runParallel(n, func(run int) moveResult {
		return simulateMove(seed, run, fault, policy, within, make())
	})
	for _, r := range results {
		if r.inTime {
			inTime++
		}
		if r.state == string(mover.RolledBack) {
			back++
		}
		reached = append(reached, r.reached)
		shares = append(shares, float64(r.reached)/float64(max(1, r.served)))
	}
	percent := func(k int) float64 { return 100 * float64(k) / float64(n) }
	return cells("%s|%s|%d|%.1f%%|%.1f%%|%d|%d|%.2f%%|%.2f%%", fault.name, name, n, percent(inTime), percent(back),
		quantile(reached, 0.5), quantile(reached, 1), 100*quantile(shares, 0.5), 100*quantile(shares, 1))
}
