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
	// plannedPrefillShare is the share of an engine's prefill speed, and
	// plannedSlotShare the share of its slots, that the fleet is sized for. The rest
	// absorbs bursts until new VMs have booted, and keeps the time to first token
	// short.
	plannedPrefillShare = 0.8
	plannedSlotShare    = 0.4
	// minMeasureTime is how long an entry measures demand before it shrinks the fleet
	// by it. Until then it orders more VMs if the demand needs them, and else only
	// replaces VMs by cheaper ones, down to minInitialShare of the initial number.
	minMeasureTime  = 6 * time.Second
	minInitialShare = 2.0 / 3
	// Before demand is measured, VMs are stopped only after the number of listed
	// on-demand VMs has not grown for listSettleTime.
	listSettleTime = 2 * time.Second
	// roundingTolerance is the largest missing fraction of an engine for which no
	// further engine is ordered.
	roundingTolerance = 0.1
	// maxQueueFactor bounds the engines needed for running requests, as a multiple of
	// those needed for prompts: in overloaded engines most running requests are
	// queued.
	maxQueueFactor = 1.5
	// fleetInterval is the time between two measurements of demand and between two
	// reconciliations of the fleet. demandDecreaseWeight is the weight of the newest
	// measurement in the moving average while demand falls.
	fleetInterval        = time.Second
	demandDecreaseWeight = 0.1
	// For scarcityBootTimes boot times after a refused order the fleet is sized to
	// tolerate the loss of scarcityLosses domains.
	scarcityBootTimes = 2
	scarcityLosses    = 2
	// maxOrderRounds bounds the order rounds of one reconciliation: all classes of
	// the cheaper kind may be refused one after the other.
	maxOrderRounds = 4
	// shortageLogInterval is the shortest time between two log lines about the same shortage.
	shortageLogInterval = 5 * time.Second
	// maxListDelay is the longest time from the boot of a VM to its entry in the list
	// of upstreams.
	maxListDelay = 3 * time.Second
)

// vmClass is a failure domain and a kind of VM: reclaimable or on-demand.
type vmClass struct {
	domain      string
	reclaimable bool
}

// fleetManager orders VMs for the deployments that the gateway scales.
type fleetManager struct {
	g            *Gateway
	leader       *leader
	reconciledAt time.Time
	// measuredAt is when demand was last measured.
	measuredAt time.Time
	fleets     map[string]*fleetState
}

// fleetState is the state of one deployment's fleet.
type fleetState struct {
	provisioner provisioner.Provisioner
	// refusedAt is when an order was last refused.
	refusedAt time.Time
	orders    map[vmClass]order
	// shortage is why the last round left VMs missing, loggedAt when it was last logged.
	shortage         provisioner.Shortage
	shortageLoggedAt time.Time
	// initialTarget is the target in VMs until demand has been measured, demandTarget
	// the engines needed for the measured demand.
	initialTarget float64
	demandTarget  float64
	// demandSince is when demand was first measured. maxListed is the largest number
	// of on-demand VMs listed before that, reached at maxListedAt.
	demandSince time.Time
	maxListed   int
	maxListedAt time.Time
}

// order is the last accepted order of a class.
type order struct {
	vms       int
	orderedAt time.Time
	// ready is the number of VMs that were ready when it was sent, leaving the smallest
	// number since then that were leaving.
	ready, leaving int
}

// classCount is the number of VMs of a class that accept requests, and of those that are
// leaving.
type classCount struct{ ready, leaving int }

func newFleetManager(g *Gateway, l *leader) *fleetManager {
	return &fleetManager{g: g, leader: l, fleets: map[string]*fleetState{}}
}

// clearOrders deletes the recorded orders: another leader may have sent newer orders.
func (f *fleetManager) clearOrders() {
	for _, s := range f.fleets {
		clear(s.orders)
	}
}

// measureAll measures the demand of each fleet. Entries that are not the leader do so
// too, so that they can order at once when they become the leader.
func (f *fleetManager) measureAll() {
	now := f.g.cfg.Now()
	r := f.g.state.resolver.Load()
	if !f.g.cfg.OrdersVMs || r == nil || now.Sub(f.measuredAt) < fleetInterval {
		return
	}
	f.measuredAt = now
	for _, d := range r.Deployments() {
		if d.Fleet != nil {
			f.measureDemand(now, d, f.stateOf(d))
		}
	}
}

// measureDemand updates a deployment's demand target: a rise applies at once, a fall
// as a moving average.
func (f *fleetManager) measureDemand(now time.Time, d resolver.Deployment, s *fleetState) {
	st := f.g.state
	st.mu.Lock()
	total := st.totalDemand(now, d.Name)
	st.mu.Unlock()
	if total.RequestRate <= 0 {
		return
	}
	if s.demandSince.IsZero() {
		s.demandSince = now
	}
	needed := enginesNeeded(total, d.Engine)
	if needed >= s.demandTarget {
		s.demandTarget = needed
	} else {
		s.demandTarget += demandDecreaseWeight * (needed - s.demandTarget)
	}
	f.g.metrics.Gauge("fleet_needed_"+d.Name, int64(math.Ceil(s.demandTarget)))
}

// reconcile orders the VMs that the fleets lack and stops those they do not need.
func (f *fleetManager) reconcile(ctx context.Context) {
	now := f.g.cfg.Now()
	r := f.g.state.resolver.Load()
	f.g.state.mu.Lock()
	isReclaim := f.g.state.reclaimNoticedAt.After(f.reconciledAt)
	f.g.state.mu.Unlock()
	if !f.g.cfg.OrdersVMs || r == nil || now.Sub(f.reconciledAt) < fleetInterval && !isReclaim {
		return
	}
	f.reconciledAt = now
	for _, d := range r.Deployments() {
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

// reconcileDeployment brings one deployment's fleet to its target.
func (f *fleetManager) reconcileDeployment(ctx context.Context, now time.Time, d resolver.Deployment) {
	s := f.stateOf(d)
	d.Fleet = f.g.state.withoutEvacuated(d.Fleet)
	listed := f.listedVMs(now, d.Name)
	total, onDemand := 0, 0
	for c, n := range listed {
		total += n.ready
		if !c.reclaimable {
			onDemand += n.ready
		}
	}
	needed, ok := s.target(now, onDemand)
	if !ok {
		return
	}
	// The provisioner skips a refused class, so the next round orders other classes
	// in its place at once.
	for range maxOrderRounds {
		if !f.orderRound(ctx, now, d, s, listed, total, needed) {
			break
		}
	}
	f.reportShortage(now, d, s, s.expectedVMs(now, d, listed), needed)
}

// reportShortage logs why VMs are missing that have not been ordered, at most every
// shortageLogInterval for the same reason.
func (f *fleetManager) reportShortage(now time.Time, d resolver.Deployment, s *fleetState, expected map[vmClass]int, needed int) {
	pools := poolsOf(expected)
	missing := needed
	for _, p := range pools {
		missing -= p.VMs
	}
	missing = max(0, missing)
	f.g.metrics.Gauge("fleet_missing_"+d.Name, int64(missing))
	if missing == 0 {
		s.shortage = provisioner.ShortageNone
		return
	}
	shortage := s.provisioner.Shortage(now, pools, offers(d.Fleet), policyFor(d, s, now))
	if shortage == s.shortage && now.Sub(s.shortageLoggedAt) < shortageLogInterval {
		return
	}
	s.shortage, s.shortageLoggedAt = shortage, now
	f.g.cfg.Log.Warn().Str("event", "fleet_short").Str("deployment", d.Name).Int("needed", needed).Int("missing", missing).Str("reason", string(shortage)).Send()
}

func poolsOf(expected map[vmClass]int) []provisioner.Pool {
	pools := make([]provisioner.Pool, 0, len(expected))
	for c, n := range expected {
		pools = append(pools, provisioner.Pool{FailureDomain: c.domain, Reclaimable: c.reclaimable, VMs: n})
	}
	return pools
}

func policyFor(d resolver.Deployment, s *fleetState, now time.Time) provisioner.Policy {
	return provisioner.Policy{MaxReclaimableShare: 1, DomainLosses: s.plannedLosses(now, d), MaxPerDomain: d.Fleet.MaxPerDomain}
}

// orderRound sends the orders of one decision of the provisioner. It reports whether
// any was refused.
func (f *fleetManager) orderRound(ctx context.Context, now time.Time, d resolver.Deployment, s *fleetState, listed map[vmClass]classCount, total, needed int) bool {
	refused := false
	expected := s.expectedVMs(now, d, listed)
	orders := s.provisioner.Decide(now, needed, poolsOf(expected), offers(d.Fleet), policyFor(d, s, now))
	for _, o := range orders {
		c := vmClass{o.FailureDomain, o.Reclaimable}
		vms := expected[c] + o.Change
		if o.Change < 0 {
			// Stop only as many VMs as are ready beyond the target.
			surplus := total - needed
			if surplus <= 0 || !s.mayScaleDown(now) {
				continue
			}
			vms = expected[c] - min(surplus, -o.Change)
			other := expected[vmClass{o.FailureDomain, !o.Reclaimable}]
			vms = max(vms, d.Fleet.MinPerDomain-other)
			total -= expected[c] - vms
		}
		if vms != expected[c] {
			refused = !f.order(ctx, now, d, s, c, vms, listed[c]) || refused
		}
	}
	return refused
}

func offers(fleet *resolver.Fleet) []provisioner.Offer {
	var all []provisioner.Offer
	for _, domain := range slices.Sorted(maps.Keys(fleet.OnDemandPrices)) {
		price := fleet.OnDemandPrices[domain]
		all = append(all, provisioner.Offer{FailureDomain: domain, PricePerHour: price})
		if fleet.ReclaimablePriceRatio > 0 && fleet.ReclaimablePriceRatio < 1 {
			all = append(all, provisioner.Offer{FailureDomain: domain, Reclaimable: true, PricePerHour: price * fleet.ReclaimablePriceRatio})
		}
	}
	return all
}

// listedVMs counts the upstreams of a deployment by class. The new version's upstreams are
// left out until its move is done, those in evacuated failure domains while they get nothing.
func (f *fleetManager) listedVMs(now time.Time, deployment string) map[vmClass]classCount {
	st := f.g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	listed := map[vmClass]classCount{}
	for _, u := range st.upstreams {
		if m, ok := st.moves[deployment]; ok && m.state != mover.Done && u.Version == m.order.To {
			// Upstreams of the new version start and stop with the move.
			continue
		}
		if _, evacuated := st.evacuated[u.FailureDomain]; evacuated || u.Deployment != deployment {
			continue
		}
		c := vmClass{u.FailureDomain, u.Reclaimable}
		count := listed[c]
		if u.Leaving || st.router.IsLeaving(u.ID) {
			count.leaving++
		} else {
			count.ready++
		}
		listed[c] = count
	}
	return listed
}

// expectedVMs returns the VMs by class once the recent orders have taken effect:
// ordered VMs that may still be booting count, stopped VMs that are still listed do
// not.
func (s *fleetState) expectedVMs(now time.Time, d resolver.Deployment, listed map[vmClass]classCount) map[vmClass]int {
	expected := map[vmClass]int{}
	for c, n := range listed {
		expected[c] = n.ready
	}
	for c, o := range s.orders {
		n := listed[c]
		_, offered := d.Fleet.OnDemandPrices[c.domain]
		switch {
		case !offered:
			// VMs that boot in an evacuated failure domain get nothing.
			delete(s.orders, c)
		case now.Sub(o.orderedAt) >= d.Fleet.BootTime+maxListDelay:
			delete(s.orders, c)
		case o.vms <= o.ready:
			expected[c] = min(n.ready, o.vms)
		case c.reclaimable && n.ready == 0 && n.leaving > o.leaving:
			// The class was reclaimed, with the VMs that were booting.
			delete(s.orders, c)
		default:
			expected[c] = o.vms
			o.leaving = min(o.leaving, n.leaving)
			s.orders[c] = o
		}
	}
	return expected
}

// target returns the number of upstreams needed, if it is known: for the measured
// demand, and until that has been measured for a while, at least a share of the on-demand
// VMs that the fleet started with. The parameter onDemand is the number of ready on-demand
// VMs.
func (s *fleetState) target(now time.Time, onDemand int) (int, bool) {
	switch {
	case !s.demandSince.IsZero() && now.Sub(s.demandSince) >= minMeasureTime:
		return max(1, int(math.Ceil(s.demandTarget-roundingTolerance))), true
	case s.demandSince.IsZero() && onDemand > s.maxListed:
		s.maxListed, s.maxListedAt = onDemand, now
		s.initialTarget = math.Ceil(minInitialShare * float64(onDemand))
	}
	// Demand that is averaged over less time than its time constant is too small, never too
	// large, so that it can only raise the target.
	target := max(s.initialTarget, math.Ceil(s.demandTarget-roundingTolerance))
	return int(target), target > 0
}

// mayScaleDown reports whether VMs may be stopped. Before there is demand, all VMs of
// the initial fleet must have been listed.
func (s *fleetState) mayScaleDown(now time.Time) bool {
	return !s.demandSince.IsZero() || now.Sub(s.maxListedAt) >= listSettleTime
}

// enginesNeeded returns how many engines serve a demand at the planned utilisation:
// the larger of the numbers needed for its prompts and for its running requests.
func enginesNeeded(total demand, engine *resolver.Engine) float64 {
	if engine == nil || engine.Slots <= 0 {
		return 1
	}
	byRunning := total.Running / (plannedSlotShare * float64(engine.Slots))
	if total.PrefillSpeed <= 0 {
		return byRunning
	}
	byPrompt := total.PromptTokenRate / (plannedPrefillShare * total.PrefillSpeed)
	return max(byPrompt, min(byRunning, maxQueueFactor*byPrompt))
}

// plannedLosses returns the number of domains whose reclaimable VMs may be lost
// without the fleet falling below its target. It is larger after a refused order,
// since VMs that are reclaimed then can't be replaced either.
func (s *fleetState) plannedLosses(now time.Time, d resolver.Deployment) int {
	if !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < scarcityBootTimes*d.Fleet.BootTime {
		return scarcityLosses
	}
	return 1
}

// order sends one order. It returns false if the cloud refused it.
func (f *fleetManager) order(ctx context.Context, now time.Time, d resolver.Deployment, s *fleetState, c vmClass, vms int, listed classCount) bool {
	sentAt := f.g.cfg.Now()
	t, err := f.leader.callCloud(ctx, func(ctx context.Context, t term) error {
		return f.g.cfg.Cloud.Order(ctx, FleetOrder{
			Deployment: d.Name, FailureDomain: c.domain, Reclaimable: c.reclaimable, VMs: vms, Holder: t.entry, Fence: t.fence,
		})
	})
	if errorx.IsOfType(err, provider.GuardFailed) {
		f.g.cfg.Log.Warn().Str("event", "fleet_order_not_sent").Str("deployment", d.Name).Str("failure_domain", c.domain).
			Bool("reclaimable", c.reclaimable).Int("vms", vms).Uint64("fence", t.fence).Err(err).Send()
		return true
	}
	f.g.metrics.Count("fleet_orders")
	line := f.g.cfg.Log.Info().Str("event", "fleet_ordered").Str("deployment", d.Name).Str("failure_domain", c.domain).
		Bool("reclaimable", c.reclaimable).Int("vms", vms).Int("ready", listed.ready).Float64("needed", s.demandTarget).Uint64("fence", t.fence).
		Dur("lease_left", t.left).Dur("took", f.g.cfg.Now().Sub(sentAt))
	if err != nil {
		line.Err(err).Send()
		refused := errorx.IsOfType(err, provider.Refused)
		if refused {
			s.provisioner.RecordRefusal(now, c.domain, c.reclaimable)
			s.refusedAt = now
		}
		return !refused
	}
	s.provisioner.RecordStart(c.domain, c.reclaimable)
	s.orders[c] = order{vms: vms, orderedAt: now, ready: listed.ready, leaving: listed.leaving}
	line.Send()
	return true
}
