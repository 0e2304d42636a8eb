package mover_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/mover"
)

// modelledUpstream runs requests at once, each with one token after the other. Its speed
// and its load change the pauses.
type modelledUpstream struct {
	isNew bool
	speed float64
	grey  bool
	ends  []time.Duration
}

func (u *modelledUpstream) load(now time.Duration) float64 {
	running := u.ends[:0]
	for _, end := range u.ends {
		if end > now {
			running = append(running, end)
		}
	}
	u.ends = running
	return float64(len(running))
}

// modelledRoute is a route of the modelled deployment.
type modelledRoute struct {
	firstToken time.Duration
	events     int
	target     time.Duration
}

var modelledRoutes = []modelledRoute{
	{firstToken: 30 * time.Millisecond, events: 48, target: 500 * time.Millisecond},
	{firstToken: 150 * time.Millisecond, events: 60, target: time.Second},
	{firstToken: 45 * time.Millisecond, events: 4, target: 500 * time.Millisecond},
}

// modelledFault is the fault of a new version. The zero value is a good version.
type modelledFault struct {
	factor      float64
	failureRate float64
	// minLoad is the part of an upstream's slots above which the fault acts.
	minLoad float64
	// route is the only route with the fault, unless oneRoute is false.
	oneRoute bool
	route    int
	// greyShare is the share of the current version's upstreams that are slow.
	greyShare float64
	// coldFactor multiplies the time to the first token of the new version, fault or
	// not, since its upstreams have not cached any prompt.
	coldFactor float64
	// slots is the number of requests that an upstream runs at once.
	slots float64
}

// modelResult is the outcome of one modelled move.
type modelResult struct {
	exposed, all int
	settled      bool
	rolledBack   bool
	// sinceFiftiethBad is the time from the 50th bad answer to the last request of the
	// new version.
	sinceFiftiethBad time.Duration
	levels           []mover.Level
}

const (
	modelEntries     = 9
	modelUpstreams   = 18
	modelStep        = 50 * time.Millisecond
	modelPause       = 21 * time.Millisecond
	modelMessageLag  = 400 * time.Millisecond
	modelWarmUp      = 10 * time.Second
	modelEvents      = 9
	modelInterrupted = 0.15
)

// moveModel simulates entries, upstreams of both versions and the comparison of all
// outcomes after modelMessageLag.
type moveModel struct {
	random      *rand.Rand
	schedule    mover.Schedule
	fault       modelledFault
	old, fresh  []*modelledUpstream
	pauses      [modelEntries]mover.PauseThreshold
	latencies   [modelEntries][3]mover.LatencyThreshold
	loads       [modelEntries]mover.Quantile
	comparisons mover.Comparisons
	pending     map[int][]modelledOutcome
	outcomes    int
	badAt       []time.Duration
	lastSent    time.Duration
	result      modelResult
}

type modelledOutcome struct {
	route        int
	current, new mover.Counts
}

func newMoveModel(seed uint64, s mover.Schedule, fault modelledFault) *moveModel {
	if fault.slots == 0 {
		fault.slots = 32
	}
	if fault.coldFactor == 0 {
		fault.coldFactor = 1.5
	}
	m := &moveModel{random: rand.New(rand.NewPCG(seed, 9)), schedule: s, fault: fault, pending: map[int][]modelledOutcome{}}
	speeds := []float64{1, 1, 1.3}
	m.random.Shuffle(len(speeds), func(i, j int) { speeds[i], speeds[j] = speeds[j], speeds[i] })
	for i := range modelUpstreams {
		m.old = append(m.old, &modelledUpstream{speed: speeds[i%3], grey: float64(i) < fault.greyShare*modelUpstreams})
		m.fresh = append(m.fresh, &modelledUpstream{isNew: true, speed: speeds[i%3]})
	}
	return m
}

func (m *moveModel) run(perSecond int) modelResult {
	carry := 0.0
	for now := -modelWarmUp; now < m.schedule.Duration; now += modelStep {
		m.deliver(now)
		trusted := mover.Trusted(m.outcomes, &m.comparisons)
		share := 0.0
		switch {
		case now < 0 || m.result.rolledBack:
		case m.result.settled:
			share = 1
		case m.comparisons.RollBackReason() != "" || m.schedule.Expired(now):
			m.result.rolledBack = true
		case m.schedule.Settled(now, trusted):
			m.result.settled = true
			share = 1
		default:
			share = m.schedule.Share(now, trusted)
		}
		for carry += float64(perSecond) * modelStep.Seconds(); carry >= 1; carry-- {
			m.request(now, share, m.schedule.Packed(now, trusted))
		}
	}
	if len(m.badAt) >= 50 {
		m.result.sinceFiftiethBad = m.lastSent - m.badAt[49]
	}
	m.result.levels = m.comparisons.Levels()[:3]
	return m.result
}

// deliver compares the outcomes that are known at now.
func (m *moveModel) deliver(now time.Duration) {
	step := int(now / modelStep)
	for _, o := range m.pending[step] {
		m.comparisons.Observe(fmt.Sprint(o.route), o.current, o.new)
		m.outcomes += o.new.Outcomes
	}
	delete(m.pending, step)
}

func (m *moveModel) upstream(now time.Duration, isNew, packed bool, share float64) *modelledUpstream {
	if !isNew {
		return m.lessLoaded(now, m.old)
	}
	if !packed {
		return m.lessLoaded(now, m.fresh[:mover.UpstreamsForShare(share, len(m.fresh))])
	}
	occupancies := make([]mover.Occupancy, len(m.fresh))
	for i, u := range m.fresh {
		occupancies[i] = mover.Occupancy{Load: u.load(now), Slots: m.fault.slots}
	}
	return m.fresh[mover.NextPacked(occupancies)]
}

func (m *moveModel) lessLoaded(now time.Duration, list []*modelledUpstream) *modelledUpstream {
	a, b := list[m.random.IntN(len(list))], list[m.random.IntN(len(list))]
	if a.load(now) > b.load(now) {
		return b
	}
	return a
}

func (m *moveModel) request(now time.Duration, share float64, packed bool) {
	isNew := m.random.Float64() < share
	route := m.random.IntN(len(modelledRoutes))
	u := m.upstream(now, isNew, packed, share)
	load := u.load(now)
	factor, failed := u.speed, m.random.Float64() < 0.002
	firstTokenFactor := 1.0
	if u.grey {
		factor *= 5
	}
	if isNew {
		firstTokenFactor = m.fault.coldFactor
		if load >= m.fault.minLoad*m.fault.slots && (!m.fault.oneRoute || route == m.fault.route) {
			factor *= max(1, m.fault.factor)
			failed = failed || m.random.Float64() < m.fault.failureRate
		}
	}
	pause := time.Duration(float64(modelPause) * factor * (1 + 0.005*load))
	firstToken := time.Duration(float64(modelledRoutes[route].firstToken) * factor * firstTokenFactor * (1 + load/m.fault.slots) * math.Exp(0.8*m.random.NormFloat64()))
	duration := firstToken + time.Duration(modelledRoutes[route].events)*pause
	if failed {
		duration = firstToken
	}
	u.ends = append(u.ends, now+duration)
	if now < 0 {
		m.record(now, now, route, false, load, firstToken, pause, failed)
		return
	}
	m.result.all++
	if isNew {
		m.result.exposed++
		m.lastSent = now
		if failed || factor > u.speed {
			m.badAt = append(m.badAt, now+duration)
		}
	}
	m.record(now, now+duration, route, isNew, load, firstToken, pause, failed)
}

// record adds the outcomes of a request to the pending ones.
func (m *moveModel) record(now, end time.Duration, route int, isNew bool, load float64, firstToken, pause time.Duration, failed bool) {
	entry := m.random.IntN(modelEntries)
	c := mover.Counts{Outcomes: 1}
	threshold := &m.latencies[entry][route]
	switch {
	case failed:
		c.Failed = 1
	case load < m.loads[entry].Value() && firstToken > threshold.Threshold(mover.MinLatencyThreshold(modelledRoutes[route].target, false)):
		c.Slow = 1
	}
	if !isNew {
		threshold.Observe(firstToken)
		m.loads[entry].Observe(load + 1)
	}
	m.add(now, end, route, isNew, c)
	if failed {
		return
	}
	var pauses mover.Pauses
	at := time.UnixMilli(0).Add(firstToken)
	for range min(modelEvents, modelledRoutes[route].events) {
		pauses.Observe(at)
		at = at.Add(time.Duration(float64(pause) * (1 + 0.04*m.random.NormFloat64())))
		if m.random.Float64() < modelInterrupted {
			at = at.Add(time.Duration(m.random.ExpFloat64() * 80 * float64(time.Millisecond)))
		}
	}
	typical, ok := pauses.Typical()
	if !ok {
		return
	}
	c = mover.Counts{Paced: 1}
	if m.pauses[entry].IsLong(typical, load >= m.loads[entry].Value()) {
		c.LongPauses = 1
	}
	if !isNew {
		m.pauses[entry].Observe(typical)
	}
	m.add(now, now+at.Sub(time.UnixMilli(0)), route, isNew, c)
}

func (m *moveModel) add(now, known time.Duration, route int, isNew bool, c mover.Counts) {
	if now < 0 {
		return
	}
	o := modelledOutcome{route: route, current: c}
	if isNew {
		o = modelledOutcome{route: route, new: c}
	}
	step := int((known + modelMessageLag) / modelStep)
	m.pending[step] = append(m.pending[step], o)
}

// modelledRuns are rates of requests a second and the number of runs at each.
var modelledRuns = []struct {
	perSecond int
	seeds     uint64
}{{170, 12}, {640, 3}}

// A version that is a few times slower was completed, as only late first tokens were
// compared and only when the response had ended. One that fails only on loaded upstreams
// was completed, as the small shares never loaded any.
func TestBadVersionsOfTheModel(t *testing.T) {
	bad := map[string]modelledFault{
		"slow by 2":                         {factor: 2},
		"slow by 3":                         {factor: 3},
		"slow by 4":                         {factor: 4},
		"slow by 8":                         {factor: 8},
		"slow by 2, cold by 3":              {factor: 2, coldFactor: 3},
		"slow by 2 beside grey upstreams":   {factor: 2, greyShare: 0.17},
		"fails half":                        {failureRate: 0.5},
		"fails one in ten":                  {failureRate: 0.1},
		"fails one in five under load":      {failureRate: 0.2, minLoad: 0.4},
		"fails half under load":             {failureRate: 0.5, minLoad: 0.6},
		"slow by 4 under load":              {factor: 4, minLoad: 0.4},
		"fails half on one route":           {failureRate: 0.5, oneRoute: true, route: 1},
		"slow by 3 on one route":            {factor: 3, oneRoute: true, route: 1},
		"slow by 4, few slots":              {factor: 4, slots: 12},
		"fails one in five, load, 12 slots": {failureRate: 0.2, minLoad: 0.6, slots: 12},
	}
	for name, fault := range bad {
		for _, runs := range modelledRuns {
			for seed := range runs.seeds {
				r := newMoveModel(seed, schedule(20*time.Second, runs.perSecond), fault).run(runs.perSecond)
				message := fmt.Sprintf("%s at %d/s, seed %d: %+v", name, runs.perSecond, seed, r)
				require.LessOrEqual(t, float64(r.exposed), 0.1*float64(r.all)+allowance, message)
				require.True(t, r.rolledBack && !r.settled, message)
				require.Less(t, r.sinceFiftiethBad, 5*time.Second, message)
			}
		}
	}
}

// Upstreams of a good version that are new, and so have cached no prompt, that are the
// slower machines or are loaded must not condemn it.
func TestGoodVersionsOfTheModel(t *testing.T) {
	good := map[string]modelledFault{
		"warm":             {coldFactor: 1},
		"cold":             {coldFactor: 1.5},
		"very cold":        {coldFactor: 2.5},
		"few slots":        {slots: 12},
		"beside grey ones": {greyShare: 0.17},
	}
	for name, fault := range good {
		for _, runs := range modelledRuns {
			for _, within := range []time.Duration{15 * time.Second, 20 * time.Second} {
				for seed := range runs.seeds {
					r := newMoveModel(seed, schedule(within, runs.perSecond), fault).run(runs.perSecond)
					require.True(t, r.settled && !r.rolledBack, "%s at %d/s within %s, seed %d: %+v", name, runs.perSecond, within, seed, r)
				}
			}
		}
	}
}
