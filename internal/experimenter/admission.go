package experimenter

import (
	"fmt"
	"time"

	"github.com/galenahitch/galenahitch/pkg/limiter"
)

const (
	admissionSlots    = 160
	medianServiceTime = 2500 * time.Millisecond
	serviceTimeSigma  = 0.5
	admissionDuration = 3 * time.Minute
	admissionWarmUp   = 20 * time.Second
)

type admissionOrg struct {
	name        string
	weight      int
	demandShare float64
}

// The large organisations send most of the requests. small-3 demands less than
// its weighted share of the capacity even at the highest load: 3 * 0.03 < 1/11.
var admissionOrgs = []admissionOrg{
	{"large-1", 4, 0.45}, {"large-2", 4, 0.35}, {"small-1", 1, 0.1}, {"small-2", 1, 0.07}, {"small-3", 1, 0.03},
}

type admissionClass struct {
	name    string
	share   float64
	urgency limiter.Urgency
	timeout time.Duration
}

var admissionClasses = []admissionClass{
	{"chat", 0.6, limiter.High, 580 * time.Millisecond}, {"tag", 0.3, limiter.Normal, time.Second}, {"review", 0.1, limiter.CanWait, time.Minute},
}

type admissionResult struct {
	onTime        int
	requests      int
	late          int
	refused       int
	onTimeByOrg   [5]int
	requestsByOrg [5]int
	onTimeByClass [3]int
	waits         []time.Duration
}

// admissionModel is a pool of slots behind the limiter or behind a plain FIFO
// queue.
type admissionModel struct {
	timeline
	limited         bool
	limiter         limiter.Limiter
	queuedCallbacks map[limiter.Ticket]func(now time.Time, admitted bool)
	queue           []func(now time.Time)
	running         int
	result          admissionResult
}

func simulateAdmission(seed uint64, load float64, limited bool) admissionResult {
	m := &admissionModel{limited: limited, queuedCallbacks: map[limiter.Ticket]func(time.Time, bool){}}
	m.limiter.SetCapacity(admissionSlots)
	random := newRandom(seed, 0)
	// The mean of a lognormal distribution with sigma 0.5 is 1.133 medians.
	meanGap := time.Duration(float64(medianServiceTime) * 1.133 / (load * admissionSlots))
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		org, class := 0, 0
		for u := random.Float64(); u > admissionOrgs[org].demandShare && org < len(admissionOrgs)-1; org++ {
			u -= admissionOrgs[org].demandShare
		}
		for u := random.Float64(); u > admissionClasses[class].share && class < len(admissionClasses)-1; class++ {
			u -= admissionClasses[class].share
		}
		m.submit(now, org, class, lognormal(random, medianServiceTime, serviceTimeSigma))
		m.schedule(now.Add(exponential(random, meanGap)), arrive)
	}
	m.schedule(epoch, arrive)
	m.runUntil(epoch.Add(admissionDuration))
	return m.result
}

func (m *admissionModel) submit(now time.Time, org, class int, serviceTime time.Duration) {
	counted := now.After(epoch.Add(admissionWarmUp))
	if counted {
		m.result.requests++
		m.result.requestsByOrg[org]++
	}
	run := func(started time.Time) {
		wait := started.Sub(now)
		switch {
		case !counted:
		case wait <= admissionClasses[class].timeout:
			m.result.onTime++
			m.result.onTimeByOrg[org]++
			m.result.onTimeByClass[class]++
			m.result.waits = append(m.result.waits, wait)
		default:
			m.result.late++
		}
		m.schedule(started.Add(serviceTime), func(ended time.Time) { m.end(ended, org, serviceTime) })
	}
	if !m.limited {
		if m.running < admissionSlots {
			m.running++
			run(now)
		} else {
			m.queue = append(m.queue, run)
		}
		return
	}
	d := m.limiter.Submit(now, limiter.Request{
		Organisation: admissionOrgs[org].name, Weight: admissionOrgs[org].weight,
		Urgency: admissionClasses[class].urgency, Deadline: now.Add(admissionClasses[class].timeout),
	})
	switch {
	case d.Outcome == limiter.Admitted:
		run(now)
	case d.Outcome == limiter.Refused && counted:
		m.result.refused++
	case d.Outcome == limiter.Queued:
		m.queuedCallbacks[d.Ticket] = func(at time.Time, admitted bool) {
			if admitted {
				run(at)
			} else if counted {
				m.result.refused++
			}
		}
	}
}

func (m *admissionModel) end(now time.Time, org int, serviceTime time.Duration) {
	if !m.limited {
		m.running--
		if len(m.queue) > 0 {
			next := m.queue[0]
			m.queue = m.queue[1:]
			m.running++
			next(now)
		}
		return
	}
	granted, expired := m.limiter.Release(now, admissionOrgs[org].name, serviceTime)
	for _, ticket := range granted {
		m.resolve(now, ticket, true)
	}
	for _, ticket := range expired {
		m.resolve(now, ticket, false)
	}
}

func (m *admissionModel) resolve(now time.Time, ticket limiter.Ticket, admitted bool) {
	callback := m.queuedCallbacks[ticket]
	delete(m.queuedCallbacks, ticket)
	callback(now, admitted)
}

// runAdmission measures how many requests start within their timeouts, at loads
// below and above the capacity.
func runAdmission(cfg Config) error {
	rows := [][]string{cells("load|admission|good/s|late/s|refused/s|wait p95|chat good/s|review good/s|least of its share|its organisation")}
	var bars []bar
	seconds := (admissionDuration - admissionWarmUp).Seconds()
	for _, load := range []float64{0.8, 1, 1.5, 3} {
		for _, limited := range []bool{false, true} {
			r := simulateAdmission(cfg.Seed, load, limited)
			name := "none"
			if limited {
				name = "limiter"
			}
			lowest, org := minShare(r)
			bars = append(bars, bar{label: fmt.Sprintf("%.1f %s", load, name), value: float64(r.onTime) / seconds})
			rows = append(rows, cells("%.1f|%s|%.1f|%.1f|%.1f|%s|%.1f|%.1f|%.2f|%s", load, name, float64(r.onTime)/seconds,
				float64(r.late)/seconds, float64(r.refused)/seconds, quantile(r.waits, 0.95).Round(time.Millisecond),
				float64(r.onTimeByClass[0])/seconds, float64(r.onTimeByClass[2])/seconds, lowest, org))
		}
	}
	printTable(cfg.Out, fmt.Sprintf("admission, %d slots, five organisations, seed %d", admissionSlots, cfg.Seed), rows...)
	return plotBars(cfg, "admission", "answered in time, by load", "requests a second", bars)
}

// minShare returns the smallest ratio, over the organisations, of requests
// served in time to the entitlement, and the name of that organisation. The
// entitlement is the weighted share of all requests served in time, or the
// organisation's own requests if these are fewer.
func minShare(r admissionResult) (float64, string) {
	weights := 0
	for _, o := range admissionOrgs {
		weights += o.weight
	}
	lowest, org := 2.0, ""
	for i, o := range admissionOrgs {
		entitled := min(float64(r.onTime)*float64(o.weight)/float64(weights), float64(r.requestsByOrg[i]))
		if share := float64(r.onTimeByOrg[i]) / max(1, entitled); share < lowest {
			lowest, org = share, o.name
		}
	}
	return lowest, org
}
