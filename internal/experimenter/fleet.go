package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/galenahitch/galenahitch/pkg/provisioner"
)

const (
	fleetStep         = time.Minute
	fleetDuration     = 7 * 24 * time.Hour
	fleetDomains      = 4
	vmStartTime       = 2 * time.Minute
	meanWaveInterval  = 9 * time.Hour
	waveRefusalPeriod = 25 * time.Minute
	waveRefusalRate   = 0.9
	onDemandPrice     = 1.0
)

var reclaimablePrices = [fleetDomains]float64{0.28, 0.3, 0.33, 0.4}

type vmClass struct {
	domain      int
	reclaimable bool
}

// fleetModel is a week of demand, reclaim waves and refused starts.
type fleetModel struct {
	random        *rand.Rand
	running       map[vmClass]int
	starting      map[vmClass][]time.Time
	refusingUntil [fleetDomains]time.Time
	cost          float64
	shortSteps    int
	steps         int
	missingShares float64
	reclaimedVMs  int
	refusedStarts int
}

func (m *fleetModel) demand(at time.Duration) int {
	hour := math.Mod(at.Hours(), 24)
	return int(12 + 8*math.Max(0, math.Sin((hour-7)/14*math.Pi)) + 1.5*m.random.NormFloat64())
}

func (m *fleetModel) offers() []provisioner.Offer {
	var list []provisioner.Offer
	for d := range fleetDomains {
		list = append(list,
			provisioner.Offer{FailureDomain: fmt.Sprint(d), Reclaimable: true, PricePerHour: reclaimablePrices[d]},
			provisioner.Offer{FailureDomain: fmt.Sprint(d), PricePerHour: onDemandPrice})
	}
	return list
}

func (m *fleetModel) pools() []provisioner.Pool {
	var list []provisioner.Pool
	for d := range fleetDomains {
		for _, reclaimable := range []bool{true, false} {
			c := vmClass{d, reclaimable}
			list = append(list, provisioner.Pool{FailureDomain: fmt.Sprint(d), Reclaimable: reclaimable, VMs: m.running[c] + len(m.starting[c])})
		}
	}
	return list
}

// completeStarts turns started VMs into live ones.
func (m *fleetModel) completeStarts(now time.Time) {
	for c, list := range m.starting {
		var rest []time.Time
		for _, at := range list {
			if at.After(now) {
				rest = append(rest, at)
			} else {
				m.running[c]++
			}
		}
		m.starting[c] = rest
	}
}

// reclaimWave reclaims most of one domain's reclaimable VMs now and then.
func (m *fleetModel) reclaimWave(now time.Time, told func(domain int)) {
	if m.random.Float64() > fleetStep.Hours()/meanWaveInterval.Hours() {
		return
	}
	d := m.random.IntN(fleetDomains)
	c := vmClass{d, true}
	lost := int(math.Ceil(0.9 * float64(m.running[c])))
	m.reclaimedVMs += lost
	m.running[c] -= lost
	m.refusingUntil[d] = now.Add(waveRefusalPeriod)
	told(d)
}

// startVMs orders VMs; it reports how many starts were refused.
func (m *fleetModel) startVMs(now time.Time, c vmClass, n int) int {
	refused := 0
	for range n {
		odds := 0.01
		if c.reclaimable && now.Before(m.refusingUntil[c.domain]) {
			odds = waveRefusalRate
		}
		if m.random.Float64() < odds {
			refused++
			continue
		}
		m.starting[c] = append(m.starting[c], now.Add(vmStartTime))
	}
	m.refusedStarts += refused
	return refused
}

func (m *fleetModel) stopVMs(c vmClass, n int) { m.running[c] = max(0, m.running[c]-n) }

func (m *fleetModel) recordStep(demand int) {
	total := 0
	for c, n := range m.running {
		total += n
		price := onDemandPrice
		if c.reclaimable {
			price = reclaimablePrices[c.domain]
		}
		m.cost += price * float64(n+len(m.starting[c])) * fleetStep.Hours()
	}
	m.steps++
	if total < demand {
		m.shortSteps++
		m.missingShares += float64(demand-total) / float64(demand)
	}
}

// fleetStrategy decides on orders each minute.
type fleetStrategy func(m *fleetModel, now time.Time, demand int)

// provisionerStrategy follows the buyer.
func provisionerStrategy(policy provisioner.Policy) (fleetStrategy, func(now time.Time, domain int)) {
	var b provisioner.Provisioner
	decide := func(m *fleetModel, now time.Time, demand int) {
		for _, o := range b.Decide(now, demand, m.pools(), m.offers(), policy) {
			var d int
			_, _ = fmt.Sscan(o.FailureDomain, &d)
			c := vmClass{d, o.Reclaimable}
			if o.Change < 0 {
				m.stopVMs(c, -o.Change)
				continue
			}
			if m.startVMs(now, c, o.Change) > 0 {
				b.RecordRefusal(now, o.FailureDomain, o.Reclaimable)
			} else {
				b.RecordStart(o.FailureDomain, o.Reclaimable)
			}
		}
	}
	return decide, func(now time.Time, domain int) { b.RecordReclaim(now, fmt.Sprint(domain)) }
}

// fixedMixStrategy holds a fixed share of reclaimable VMs, spread evenly, with slack.
func fixedMixStrategy(share, slack float64) (fleetStrategy, func(time.Time, int)) {
	return func(m *fleetModel, now time.Time, demand int) {
		total := float64(demand) * (1 + slack)
		for d := range fleetDomains {
			for _, reclaimable := range []bool{true, false} {
				part := 1 - share
				if reclaimable {
					part = share
				}
				c := vmClass{d, reclaimable}
				want := int(math.Ceil(total * part / fleetDomains))
				have := m.running[c] + len(m.starting[c])
				if want > have {
					m.startVMs(now, c, want-have)
				} else {
					m.stopVMs(c, have-want)
				}
			}
		}
	}, func(time.Time, int) {}
}

func simulateFleet(seed uint64, way fleetStrategy, told func(time.Time, int)) *fleetModel {
	m := &fleetModel{random: newRandom(seed, 0), running: map[vmClass]int{}, starting: map[vmClass][]time.Time{}}
	for at := time.Duration(0); at < fleetDuration; at += fleetStep {
		now := epoch.Add(at)
		m.completeStarts(now)
		demand := m.demand(at)
		m.reclaimWave(now, func(d int) { told(now, d) })
		if at > 10*time.Minute {
			m.recordStep(demand)
		}
		way(m, now, demand)
	}
	return m
}

// runFleet compares what a week costs and how often it falls short.
func runFleet(cfg Config) error {
	rows := [][]string{cells("way|cost|of all on-demand|minutes short|mean missing then|reclaimed|starts refused")}
	base := 0.0
	var bars []bar
	for _, way := range []struct {
		name string
		make func() (fleetStrategy, func(time.Time, int))
	}{
		{"all on-demand, 20% slack", func() (fleetStrategy, func(time.Time, int)) { return fixedMixStrategy(0, 0.2) }},
		{"all on-demand, 45% slack", func() (fleetStrategy, func(time.Time, int)) { return fixedMixStrategy(0, 0.45) }},
		{"fixed mix, half, 20% slack", func() (fleetStrategy, func(time.Time, int)) { return fixedMixStrategy(0.5, 0.2) }},
		{"fixed mix, half, 40% slack", func() (fleetStrategy, func(time.Time, int)) { return fixedMixStrategy(0.5, 0.4) }},
		{"buyer, quiroga's bound 0.7", func() (fleetStrategy, func(time.Time, int)) {
			return provisionerStrategy(provisioner.Policy{MaxReclaimableShare: 0.7, Headroom: 0.2})
		}},
		{"buyer, quiroga's, 10% slack", func() (fleetStrategy, func(time.Time, int)) {
			return provisionerStrategy(provisioner.Policy{MaxReclaimableShare: 0.7, Headroom: 0.1})
		}},
		{"buyer, morsko's bound 0.5", func() (fleetStrategy, func(time.Time, int)) {
			return provisionerStrategy(provisioner.Policy{MaxReclaimableShare: 0.5, Headroom: 0.2})
		}},
		{"buyer, no bound", func() (fleetStrategy, func(time.Time, int)) {
			return provisionerStrategy(provisioner.Policy{MaxReclaimableShare: 1, Headroom: 0.2})
		}},
	} {
		decide, told := way.make()
		m := simulateFleet(cfg.Seed, decide, told)
		if base == 0 {
			base = m.cost
		}
		bars = append(bars, bar{label: way.name, value: m.cost})
		rows = append(rows, cells("%s|%.0f|%.0f%%|%.2f%%|%.0f%%|%d|%d", way.name, m.cost, 100*m.cost/base,
			100*float64(m.shortSteps)/float64(m.steps), 100*m.missingShares/float64(max(1, m.shortSteps)), m.reclaimedVMs, m.refusedStarts))
	}
	printTable(cfg.Out, fmt.Sprintf("fleet, a week, %d domains, a wave every %s, seed %d", fleetDomains, meanWaveInterval, cfg.Seed), rows...)
	return plotBars(cfg, "fleet", "cost of a week", "price units", bars)
}
