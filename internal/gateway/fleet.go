package gateway

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/provisioner"
	"github.com/galenahitch/galenahitch/pkg/resolver"
)

const (
	// plannedPrefillShare is the share of an engine's speed of reading prompts, and
	// plannedSlots that of its slots, that the fleet is sized for. What is left
	// carries bursts until new VMs have booted, and keeps the wait for the first
	// token short.
	plannedPrefillShare = 0.8
	plannedSlotShare    = 0.4
	// minMeasureTime is how long an entry watches demand before it may change the
	// fleet. While there are no callers yet it only replaces VMs by cheaper ones,
	// down to firstShare of those that were there.
	minMeasureTime  = 6 * time.Second
	minInitialShare = 2.0 / 3
	// listSettleTime is how long the number of listed VMs has to stand still before
	// VMs are given back while there are no callers yet.
	listSettleTime = 2 * time.Second
	// roundingTolerance is the part of an engine that is not worth another one.
	roundingTolerance = 0.1
	// maxQueueFactor bounds how many more engines running requests may ask for than
	// prompts do: when engines are overloaded most of what runs only waits.
	maxQueueFactor = 1.5
	// fleetInterval is the time between two looks at the fleet, and demandBlend the
	// weight of the newest look at demand when it falls.
	fleetInterval        = time.Second
	demandDecreaseWeight = 0.1
	// scarcityBootTimes is for how many boot times after a refused order the fleet
	// outlasts scarceLosses domains.
	scarcityBootTimes = 2
	scarcityLosses    = 2
	// maxOrderRounds bounds the decisions of one look: all classes of a kind may be
	// refused one after the other.
	maxOrderRounds = 4
	// maxListDelay is how long after its boot a VM may take to be listed.
	maxListDelay = 3 * time.Second
)

// vmClass is a kind of VM in a failure domain.
type vmClass struct {
	domain      string
	reclaimable bool
}

// fleetManager orders VMs for the deployments whose size is ours to order.
type fleetManager struct {
	g            *Gateway
	leader       *leader
	reconciledAt time.Time
	// measuredAt is when demand was looked at last.
	measuredAt time.Time
	fleets     map[string]*fleetState
}

// fleetState is what the holder of the duty remembers of one deployment.
type fleetState struct {
	provisioner provisioner.Provisioner
	// refusedAt is when an order was last refused.
	refusedAt time.Time
	orders    map[vmClass]order
	// initialTarget is what the fleet began with, measured what demand asks for.
	initialTarget float64
	demandTarget  float64
	// demandSince is when demand was first seen; most is the largest number of
	// on-demand VMs listed before, and mostAt when it was reached.
	demandSince time.Time
	maxListed   int
	maxListedAt time.Time
}

// order is the last order of a class that was taken.
type order struct {
	vms       int
	orderedAt time.Time
}

func newFleetManager(g *Gateway, d *leader) *fleetManager {
	return &fleetManager{g: g, leader: d, fleets: map[string]*fleetState{}}
}

// clearOrders forgets what was ordered: another holder may have ordered since.
func (f *fleetManager) clearOrders() {
	for _, s := range f.fleets {
		clear(s.orders)
	}
}

// measureAll follows the demand of each fleet. Entries that do not hold the duty do
// so too, so that they can act as soon as they do.
func (f *fleetManager) measureAll() {
	now := f.g.cfg.Now()
	believed := f.g.state.resolver.Load()
	if !f.g.cfg.OrdersVMs || believed == nil || now.Sub(f.measuredAt) < fleetInterval {
		return
	}
	f.measuredAt = now
	for _, d := range believed.Deployments() {
		if d.Fleet != nil {
			f.measureDemand(now, d, f.stateOf(d))
		}
	}
}

// measureDemand follows a deployment's demand up at once and down slowly.
func (f *fleetManager) measureDemand(now time.Time, d resolver.Deployment, s *fleetState) {
	b := f.g.state
	b.mu.Lock()
	asked := b.totalDemand(now, d.Name)
	b.mu.Unlock()
	if asked.RequestRate <= 0 {
		return
	}
	if s.demandSince.IsZero() {
		s.demandSince = now
	}
	n := enginesNeeded(asked, d.Engine)
	if n >= s.demandTarget {
		s.demandTarget = n
	} else {
		s.demandTarget += demandDecreaseWeight * (n - s.demandTarget)
	}
	f.g.metrics.Gauge("fleet_needed_"+d.Name, int64(math.Ceil(s.demandTarget)))
}

// reconcile orders what the fleets lack and gives back what they do not need.
func (f *fleetManager) reconcile(ctx context.Context) {
	now := f.g.cfg.Now()
	believed := f.g.state.resolver.Load()
	if !f.g.cfg.OrdersVMs || believed == nil || now.Sub(f.reconciledAt) < fleetInterval {
		return
	}
	f.reconciledAt = now
	for _, d := range believed.Deployments() {
		if d.Fleet != nil {
			f.reconcileDeployment(ctx, now, d)
		}
	}
}

func (f *fleetManager) stateOf(d resolver.Deployment) *fleetState {
	s, ok := f.fleets[d.Name]
	if !ok {
		s = &fleetState{orders: map[vmClass]order{}, provisioner: provisioner.Provisioner{Timing: provisioner.Timing{
			MinBackoff: d.Fleet.BootTime / 2, MaxBackoff: d.Fleet.BootTime, ReclaimBackoff: d.Fleet.BootTime / 2, ScaleDownDelay: d.Fleet.BootTime,
		}}}
		f.fleets[d.Name] = s
	}
	return s
}

// reconcileDeployment brings one deployment's fleet to what it needs.
func (f *fleetManager) reconcileDeployment(ctx context.Context, now time.Time, d resolver.Deployment) {
	s := f.stateOf(d)
	ready := f.readyVMs(now, d.Name)
	total := 0
	for _, n := range ready {
		total += n
	}
	lasting := 0
	for c, n := range ready {
		if !c.reclaimable {
			lasting += n
		}
	}
	needed, known := s.target(now, lasting)
	if !known {
		return
	}
	// A refused class leaves the offers, so the next round orders others in its
	// place at once.
	for range maxOrderRounds {
		if !f.orderRound(ctx, now, d, s, ready, total, needed) {
			return
		}
	}
}

// orderRound orders what one decision asks for. It reports whether an order was
// refused.
func (f *fleetManager) orderRound(ctx context.Context, now time.Time, d resolver.Deployment, s *fleetState, ready map[vmClass]int, total, needed int) bool {
	refused := false
	coming := s.expectedVMs(now, d, ready)
	holdings := make([]provisioner.Pool, 0, len(coming))
	for c, n := range coming {
		holdings = append(holdings, provisioner.Pool{FailureDomain: c.domain, Reclaimable: c.reclaimable, VMs: n})
	}
	orders := s.provisioner.Decide(now, needed, holdings, offers(d.Fleet), provisioner.Policy{MaxReclaimableShare: 1, DomainLosses: s.plannedLosses(now, d), MaxPerDomain: d.Fleet.MaxPerDomain})
	for _, o := range orders {
		c := vmClass{o.FailureDomain, o.Reclaimable}
		vms := coming[c] + o.Change
		if o.Change < 0 {
			// Only what is ready may take the place of what is given back.
			spare := total - needed
			if spare <= 0 || !s.mayScaleDown(now) {
				continue
			}
			vms = coming[c] - min(spare, -o.Change)
			other := coming[vmClass{o.FailureDomain, !o.Reclaimable}]
			vms = max(vms, d.Fleet.MinPerDomain-other)
			total -= coming[c] - vms
		}
		if vms != coming[c] {
			refused = !f.order(ctx, now, d, s, c, vms, ready[c]) || refused
		}
	}
	return refused
}

func offers(fleet *resolver.Fleet) []provisioner.Offer {
	var list []provisioner.Offer
	for _, domain := range slices.Sorted(maps.Keys(fleet.OnDemandPrices)) {
		price := fleet.OnDemandPrices[domain]
		list = append(list, provisioner.Offer{FailureDomain: domain, PricePerHour: price})
		if fleet.ReclaimablePriceRatio > 0 && fleet.ReclaimablePriceRatio < 1 {
			list = append(list, provisioner.Offer{FailureDomain: domain, Reclaimable: true, PricePerHour: price * fleet.ReclaimablePriceRatio})
		}
	}
	return list
}

// readyVMs counts the upstreams that take work, by class.
func (f *fleetManager) readyVMs(now time.Time, deployment string) map[vmClass]int {
	b := f.g.state
	b.mu.Lock()
	defer b.mu.Unlock()
	count := map[vmClass]int{}
	for _, u := range b.upstreams {
		if m, ok := b.moves[deployment]; ok && m.state != mover.Done && u.Version == m.order.To {
			// It comes and goes with the move.
			continue
		}
		if u.Deployment == deployment && !u.Leaving && !b.router.IsLeaving(u.ID) {
			count[vmClass{u.FailureDomain, u.Reclaimable}]++
		}
	}
	return count
}

// expectedVMs adds to what is ready what was ordered and may still be booting, and
// leaves out what was given back and has not left the list yet.
func (s *fleetState) expectedVMs(now time.Time, d resolver.Deployment, ready map[vmClass]int) map[vmClass]int {
	coming := map[vmClass]int{}
	for c, n := range ready {
		coming[c] = n
	}
	for c, o := range s.orders {
		if now.Sub(o.orderedAt) < d.Fleet.BootTime+maxListDelay {
			coming[c] = o.vms
		} else {
			delete(s.orders, c)
		}
	}
	return coming
}

// target returns the number of upstreams that carry the demand as planned, if
// that is known. Lasting is the number of on-demand VMs, which is what a fleet
// begins with.
func (s *fleetState) target(now time.Time, lasting int) (int, bool) {
	switch {
	case !s.demandSince.IsZero() && now.Sub(s.demandSince) >= minMeasureTime:
		return max(1, int(math.Ceil(s.demandTarget-roundingTolerance))), true
	case s.demandSince.IsZero() && lasting > s.maxListed:
		s.maxListed, s.maxListedAt = lasting, now
		s.initialTarget = math.Ceil(minInitialShare * float64(lasting))
	}
	return int(s.initialTarget), s.initialTarget > 0
}

// mayScaleDown reports whether VMs may be given back: all that there are have been
// listed.
func (s *fleetState) mayScaleDown(now time.Time) bool {
	return !s.demandSince.IsZero() || now.Sub(s.maxListedAt) >= listSettleTime
}

// enginesNeeded returns how many enginesNeeded carry a demand as planned: the larger of
// what its prompts and what its running requests ask for.
func enginesNeeded(asked demand, engine *resolver.Engine) float64 {
	if engine == nil || engine.Slots <= 0 {
		return 1
	}
	byRunning := asked.Running / (plannedSlotShare * float64(engine.Slots))
	if asked.PrefillSpeed <= 0 {
		return byRunning
	}
	byPrompt := asked.PromptTokenRate / (plannedPrefillShare * asked.PrefillSpeed)
	return max(byPrompt, min(byRunning, maxQueueFactor*byPrompt))
}

// plannedLosses returns the number of domains whose reclaimable VMs the fleet is made
// to outlast. Where none are to be had, what goes next can't be replaced either.
func (s *fleetState) plannedLosses(now time.Time, d resolver.Deployment) int {
	if !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < scarcityBootTimes*d.Fleet.BootTime {
		return scarcityLosses
	}
	return 1
}

// order sends one order. It returns false if there are none to be had.
func (f *fleetManager) order(ctx context.Context, now time.Time, d resolver.Deployment, s *fleetState, c vmClass, vms, ready int) bool {
	holder, fence, may := f.leader.fencingToken()
	if !may {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, cloudCallTimeout)
	defer cancel()
	err := f.g.cfg.Cloud.Order(ctx, FleetOrder{
		Deployment: d.Name, FailureDomain: c.domain, Reclaimable: c.reclaimable, VMs: vms, Holder: holder, Fence: fence,
	})
	f.g.metrics.Count("fleet_orders")
	line := f.g.cfg.Log.Info().Str("event", "fleet_ordered").Str("deployment", d.Name).Str("failure_domain", c.domain).
		Bool("reclaimable", c.reclaimable).Int("vms", vms).Int("ready", ready).Float64("needed", s.demandTarget).Uint64("fence", fence)
	if err != nil {
		line.Err(err).Send()
		none := errorx.IsOfType(err, provider.Refused)
		if none {
			s.provisioner.RecordRefusal(now, c.domain, c.reclaimable)
			s.refusedAt = now
		}
		return !none
	}
	s.provisioner.RecordStart(c.domain, c.reclaimable)
	s.orders[c] = order{vms: vms, orderedAt: now}
	line.Send()
	return true
}
