package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/resolver"
	"github.com/galenahitch/galenahitch/pkg/router"
)

// fakeCloud is a cloud of which tests see what its VMs cost. Reclaimable VMs can be
// had only while it is not dry.
type fakeCloud struct {
	clock         *clock
	vms           []*vm
	noReclaimable bool
	created       int
	cost          float64
}

type vm struct {
	Upstream
	readyAt   time.Time
	removedAt time.Time
}

const (
	bootTime  = 4 * time.Second
	drainTime = 3 * time.Second
)

func (m *fakeCloud) Report(context.Context, Usage) error { return nil }

func (m *fakeCloud) Order(_ context.Context, o FleetOrder) error {
	if m.noReclaimable && o.Reclaimable && o.VMs > len(m.running(o.FailureDomain, true)) {
		return provider.Refused.New("none to be had")
	}
	held := m.running(o.FailureDomain, o.Reclaimable)
	for range o.VMs - len(held) {
		m.add(o.FailureDomain, o.Reclaimable, m.clock.now.Add(bootTime))
	}
	for _, v := range held[:max(0, len(held)-o.VMs)] {
		m.drain(v, drainTime)
	}
	return nil
}

func (m *fakeCloud) add(domain string, reclaimable bool, readyAt time.Time) {
	m.created++
	m.vms = append(m.vms, &vm{readyAt: readyAt, Upstream: Upstream{
		Name: fmt.Sprint("vm", m.created), Reclaimable: reclaimable,
		Upstream: router.Upstream{ID: fmt.Sprint("vm", m.created), Deployment: "model", FailureDomain: domain, Slots: 32},
	}})
}

func (m *fakeCloud) drain(v *vm, in time.Duration) {
	v.Leaving = true
	v.removedAt = m.clock.now.Add(in)
}

func (m *fakeCloud) running(domain string, reclaimable bool) []*vm {
	var held []*vm
	for _, v := range m.vms {
		if v.FailureDomain == domain && v.Reclaimable == reclaimable && !v.Leaving {
			held = append(held, v)
		}
	}
	return held
}

// reclaim takes all reclaimable VMs of a domain.
func (m *fakeCloud) reclaim(domain string) {
	for _, v := range m.running(domain, true) {
		m.drain(v, 2*time.Second)
	}
}

// serving returns the VMs that serve, leaving ones included.
func (m *fakeCloud) serving() int {
	n := 0
	for _, v := range m.vms {
		if !m.clock.now.Before(v.readyAt) && (!v.Leaving || m.clock.now.Before(v.removedAt)) {
			n++
		}
	}
	return n
}

// tick passes half a second: the list of upstreams follows the market, and the
// holder of the duty looks at the fleet.
func (m *fakeCloud) tick(g *Gateway, engines float64) {
	const step = 500 * time.Millisecond
	m.clock.advance(step)
	if engines > 0 {
		demandOf(g, m.clock.now, engines)
	}
	listed := map[string]Upstream{}
	for _, v := range m.vms {
		if v.Leaving && !m.clock.now.Before(v.removedAt) {
			continue
		}
		price := 1.0
		if v.Reclaimable {
			price = 0.22
		}
		m.cost += price * step.Seconds()
		if !m.clock.now.Before(v.readyAt) {
			listed[v.ID] = v.Upstream
		}
	}
	g.state.mu.Lock()
	g.state.upstreams = listed
	g.state.updateRouter(m.clock.now)
	g.state.mu.Unlock()
	g.leader.fleet.measureAll()
	g.leader.fleet.reconcile(context.Background())
}

// demandOf has callers ask for what n engines carry as planned.
func demandOf(g *Gateway, now time.Time, n float64) {
	const speed = 40_000.0
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	*g.state.demandFor("model") = demand{RequestRate: 50, PromptTokenRate: n * plannedPrefillShare * speed, PrefillSpeed: speed, SpeedEntries: 1, updatedAt: now}
}

func newFakeCloud(t *testing.T, lasting int) (*fakeCloud, *Gateway) {
	t.Helper()
	m := &fakeCloud{}
	g, c := newGateway(t, m)
	m.clock = c
	makeLeader(g, c.now)
	for i := range lasting {
		m.add(domains[i%len(domains)], false, c.now)
	}
	return m, g
}

func (m *fakeCloud) run(g *Gateway, ticks int, engines float64) int {
	least := m.serving()
	for range ticks {
		m.tick(g, engines)
		least = min(least, m.serving())
	}
	return least
}

// A fleet that begins with on-demand VMs is swapped for reclaimable ones before
// callers come, and never holds fewer than two thirds meanwhile.
func TestFirstFleetIsSwappedForCheaperVMs(t *testing.T) {
	m, g := newFakeCloud(t, 18)
	require.GreaterOrEqual(t, m.run(g, 24, 0), 12)
	lasting := 0
	for _, d := range domains {
		lasting += len(m.running(d, false))
	}
	require.Zero(t, lasting)
	require.Equal(t, 16, m.serving(), "12 remain when a domain's VMs go")
}

// The reclaimable VMs of all four domains are taken in turn, ever faster, while
// no others are to be had. On-demand VMs take their place in time for all
// of the demand to be carried as planned all the while.
func TestAllDomainsAreReclaimedInARow(t *testing.T) {
	m, g := newFakeCloud(t, 18)
	m.run(g, 24, 0)
	m.run(g, 30, 8)
	m.noReclaimable = true
	least := 100
	for i, ticks := range []int{12, 8, 4, 10} {
		m.reclaim(domains[i])
		least = min(least, m.run(g, ticks, 8))
	}
	require.GreaterOrEqual(t, least, 8)
	m.run(g, 10, 8)
	require.GreaterOrEqual(t, m.serving(), 8)
	m.noReclaimable = false
	m.run(g, 60, 8)
	for _, d := range domains {
		require.Empty(t, m.running(d, false), "what was bought in the shortage is given back")
	}
}

// Demand that doubles is followed within two boot times, demand that falls is
// followed slowly, and VMs that are given back are replaced before they go.
func TestFleetFollowsDemand(t *testing.T) {
	m, g := newFakeCloud(t, 18)
	m.run(g, 24, 0)
	m.run(g, 20, 6)
	m.run(g, 16, 12)
	require.GreaterOrEqual(t, m.serving(), 12)
	require.GreaterOrEqual(t, m.run(g, 20, 6), 8)
	m.run(g, 120, 6)
	require.LessOrEqual(t, m.serving(), 10)
}

// The steady fleet costs less than a third of one of on-demand VMs that carries
// the same demand after the loss of a domain.
func TestSteadyFleetIsCheap(t *testing.T) {
	m, g := newFakeCloud(t, 18)
	m.run(g, 24, 0)
	m.run(g, 60, 9)
	before := m.cost
	m.run(g, 120, 9)
	require.Less(t, (m.cost-before)/60, 12.0/3)
}

// Overloaded engines hold many requests that only wait. They ask for at most
// half more engines than the prompts do.
func TestWaitingRequestsDoNotInflateTheFleet(t *testing.T) {
	engine := &resolver.Engine{Slots: 32}
	asked := demand{PromptTokenRate: 0.8 * 10 * 40_000, PrefillSpeed: 40_000, Running: 1000}
	require.InDelta(t, 15, enginesNeeded(asked, engine), 0.01)
	asked.Running = 12.8 * 11
	require.InDelta(t, 11, enginesNeeded(asked, engine), 0.01)
	require.InDelta(t, 11, enginesNeeded(demand{Running: 12.8 * 11}, engine), 0.01, "no speed is known yet")
	require.InDelta(t, 1, enginesNeeded(asked, nil), 0)
}
