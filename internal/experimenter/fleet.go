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

// fleetModel simulates a week of demand for VMs with reclaim waves and refused
// starts. missingShares is the sum, over the steps with too few VMs, of the
// share of the demand that is missing.
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

func (m *fleetModel) demand(elapsed time.Duration) int {
	hour := math.Mod(elapsed.Hours(), 24)
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

// completeStarts turns starting VMs that are ready by now into running ones.
func (m *fleetModel) completeStarts(now time.Time) {
	for c, list := range m.starting {
		var rest []time.Time
		for _, readyAt := range list {
			if readyAt.After(now) {
				rest = append(rest, readyAt)
			} else {
				m.running[c]++
			}
		}
		m.starting[c] = rest
	}
}

// reclaimWave reclaims nine tenths of the reclaimable VMs of a random domain,
// on average once every meanWaveInterval. For waveRefusalPeriod most starts of
// reclaimable VMs in that domain are refused.
func (m *fleetModel) reclaimWave(now time.Time, onReclaim func(domain int)) {
	if m.random.Float64() > fleetStep.Hours()/meanWaveInterval.Hours() {
		return
	}
	d := m.random.IntN(fleetDomains)
	c := vmClass{d, true}
	reclaimed := int(math.Ceil(0.9 * float64(m.running[c])))
	m.reclaimedVMs += reclaimed
	m.running[c] -= reclaimed
	m.refusingUntil[d] = now.Add(waveRefusalPeriod)
	onReclaim(d)
}

// startVMs orders n VMs and returns how many starts were refused.
func (m *fleetModel) startVMs(now time.Time, c vmClass, n int) int {
	refused := 0
	for range n {
		refusalRate := 0.01
		if c.reclaimable && now.Before(m.refusingUntil[c.domain]) {
			refusalRate = waveRefusalRate
		}
		if m.random.Float64() < refusalRate {
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

// fleetStrategy starts and stops VMs. It is called once per step.
type fleetStrategy func(m *fleetModel, now time.Time, demand int)

// provisionerStrategy carries out the orders of a provisioner. The second function
// records a reclaim in a domain with the provisioner.
func provisionerStrategy(policy provisioner.Policy) (fleetStrategy, func(now time.Time, domain int)) {
	var p provisioner.Provisioner
	decide := func(m *fleetModel, now time.Time, demand int) {
		for _, o := range p.Decide(now, demand, m.pools(), m.offers(), policy) {
			var d int
			_, _ = fmt.Sscan(o.FailureDomain, &d)
			c := vmClass{d, o.Reclaimable}
			if o.Change < 0 {
				m.stopVMs(c, -o.Change)
				continue
			}
			if m.startVMs(now, c, o.Change) > 0 {
				p.RecordRefusal(now, o.FailureDomain, o.Reclaimable)
			} else {
				p.RecordStart(o.FailureDomain, o.Reclaimable)
			}
		}
	}
	return decide, func(now time.Time, domain int) { p.RecordReclaim(now, fmt.Sprint(domain)) }
}

// fixedMixStrategy keeps a fixed share of reclaimable VMs, spread evenly over
// the domains, with headroom above the demand.
func fixedMixStrategy(share, headroom float64) (fleetStrategy, func(time.Time, int)) {
	return func(m *fleetModel, now time.Time, demand int) {
		total := float64(demand) * (1 + headroom)
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

func simulateFleet(seed uint64, strategy fleetStrategy, onReclaim func(time.Time, int)) *fleetModel {
	m := &fleetModel{random: newRandom(seed, 0), running: map[vmClass]int{}, starting: map[vmClass][]time.Time{}}
	for elapsed := time.Duration(0); elapsed < fleetDuration; elapsed += fleetStep {
		now := epoch.Add(elapsed)
		m.completeStarts(now)
		demand := m.demand(elapsed)
		m.reclaimWave(now, func(d int) { onReclaim(now, d) })
		if elapsed > 10*time.Minute {
			m.recordStep(demand)
		}
		strategy(m, now, demand)
	}
	return m
}

// runFleet compares strategies by the cost of a week and by how often fewer VMs
// run than the demand.
func runFleet(cfg Config) error {
	rows := [][]string{cells("way|cost|of all on-demand|minutes short|mean missing then|reclaimed|starts refused")}
	base := 0.0
	var bars []bar
	for _, variant := range []struct {
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
		strategy, onReclaim := variant.make()
		m := simulateFleet(cfg.Seed, strategy, onReclaim)
		if base == 0 {
			base = m.cost
		}
		bars = append(bars, bar{label: variant.name, value: m.cost})
		rows = append(rows, cells("%s|%.0f|%.0f%%|%.2f%%|%.0f%%|%d|%d", variant.name, m.cost, 100*m.cost/base,
			100*float64(m.shortSteps)/float64(m.steps), 100*m.missingShares/float64(max(1, m.shortSteps)), m.reclaimedVMs, m.refusedStarts))
	}
	printTable(cfg.Out, fmt.Sprintf("fleet, a week, %d domains, a wave every %s, seed %d", fleetDomains, meanWaveInterval, cfg.Seed), rows...)
	return plotBars(cfg, "fleet", "cost of a week", "price units", bars)
}
