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
	// plannedUse is the share of an engine's speed of reading prompts, and
	// plannedSlots that of its slots, that the fleet is sized for. What is left
	// carries bursts until new VMs have booted, and keeps the wait for the first
	// token short.
	plannedUse   = 0.8
	plannedSlots = 0.4
	// measureFor is how long an entry watches demand before it may change the
	// fleet. While there are no callers yet it only replaces VMs by cheaper ones,
	// down to firstShare of those that were there.
	measureFor = 6 * time.Second
	firstShare = 2.0 / 3
	// listSettle is how long the number of listed VMs has to stand still before
	// VMs are given back while there are no callers yet.
	listSettle = 2 * time.Second
	// roundingSlack is the part of an engine that is not worth another one.
	roundingSlack = 0.1
	// queueFactor bounds how many more engines running requests may ask for than
	// prompts do: when engines are overloaded most of what runs only waits.
	queueFactor = 1.5
	// fleetTick is the time between two looks at the fleet, and demandBlend the
	// weight of the newest look at demand when it falls.
	fleetTick   = time.Second
	demandBlend = 0.1
	// scarceFor is for how many boot times after a refused order the fleet
	// outlasts scarceLosses domains.
	scarceFor    = 2
	scarceLosses = 2
	// orderRounds bounds the decisions of one look: all classes of a kind may be
	// refused one after the other.
	orderRounds = 4
	// listLag is how long after its boot a VM may take to be listed.
	listLag = 3 * time.Second
)

// class is a kind of VM in a failure domain.
type class struct {
	domain      string
	reclaimable bool
}

// fleetManager orders VMs for the deployments whose size is ours to order.
type fleetManager struct {
	g      *Gateway
	duty   *duty
	lookAt time.Time
	// watchedAt is when demand was looked at last.
	watchedAt time.Time
	fleets    map[string]*fleetState
}

// fleetState is what the holder of the duty remembers of one deployment.
type fleetState struct {
	buyer provisioner.Provisioner
	// refusedAt is when an order was last refused.
	refusedAt time.Time
	ordered   map[class]order
	// needed is what the fleet began with, measured what demand asks for.
	needed   float64
	measured float64
	// seenAt is when demand was first seen; most is the largest number of
	// on-demand VMs listed before, and mostAt when it was reached.
	seenAt time.Time
	most   int
	mostAt time.Time
}

// order is the last order of a class that was taken.
type order struct {
	vms int
	at  time.Time
}

func newFleetManager(g *Gateway, d *duty) *fleetManager {
	return &fleetManager{g: g, duty: d, fleets: map[string]*fleetState{}}
}

// idle forgets what was ordered: another holder may have ordered since.
func (f *fleetManager) idle() {
	for _, s := range f.fleets {
		clear(s.ordered)
	}
}

// watch follows the demand of each fleet. Entries that do not hold the duty do
// so too, so that they can act as soon as they do.
func (f *fleetManager) watch() {
	now := f.g.cfg.Now()
	believed := f.g.state.resolver.Load()
	if !f.g.cfg.OrdersVMs || believed == nil || now.Sub(f.watchedAt) < fleetTick {
		return
	}
	f.watchedAt = now
	for _, d := range believed.Deployments() {
		if d.Fleet != nil {
			f.measure(now, d, f.state(d))
		}
	}
}

// measure follows a deployment's demand up at once and down slowly.
func (f *fleetManager) measure(now time.Time, d resolver.Deployment, s *fleetState) {
	b := f.g.state
	b.mu.Lock()
	asked := b.totalDemand(now, d.Name)
	b.mu.Unlock()
	if asked.Requests <= 0 {
		return
	}
	if s.seenAt.IsZero() {
		s.seenAt = now
	}
	n := engines(asked, d.Engine)
	if n >= s.measured {
		s.measured = n
	} else {
		s.measured += demandBlend * (n - s.measured)
	}
	f.g.measures.Gauge("fleet_needed_"+d.Name, int64(math.Ceil(s.measured)))
}

// work orders what the fleets lack and gives back what they do not need.
func (f *fleetManager) work(ctx context.Context) {
	now := f.g.cfg.Now()
	believed := f.g.state.resolver.Load()
	if !f.g.cfg.OrdersVMs || believed == nil || now.Sub(f.lookAt) < fleetTick {
		return
	}
	f.lookAt = now
	for _, d := range believed.Deployments() {
		if d.Fleet != nil {
			f.size(ctx, now, d)
		}
	}
}

func (f *fleetManager) state(d resolver.Deployment) *fleetState {
	s, ok := f.fleets[d.Name]
	if !ok {
		s = &fleetState{ordered: map[class]order{}, buyer: provisioner.Provisioner{Timing: provisioner.Timing{
			MinBackoff: d.Fleet.BootTime / 2, MaxBackoff: d.Fleet.BootTime, ReclaimBackoff: d.Fleet.BootTime / 2, ScaleDownDelay: d.Fleet.BootTime,
		}}}
		f.fleets[d.Name] = s
	}
	return s
}

// size brings one deployment's fleet to what it needs.
func (f *fleetManager) size(ctx context.Context, now time.Time, d resolver.Deployment) {
	s := f.state(d)
	ready := f.ready(now, d.Name)
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
	needed, known := s.wanted(now, lasting)
	if !known {
		return
	}
	// A refused class leaves the offers, so the next round orders others in its
	// place at once.
	for range orderRounds {
		if !f.round(ctx, now, d, s, ready, total, needed) {
			return
		}
	}
}

// round orders what one decision asks for. It reports whether an order was
// refused.
func (f *fleetManager) round(ctx context.Context, now time.Time, d resolver.Deployment, s *fleetState, ready map[class]int, total, needed int) bool {
	refused := false
	coming := s.coming(now, d, ready)
	holdings := make([]provisioner.Pool, 0, len(coming))
	for c, n := range coming {
		holdings = append(holdings, provisioner.Pool{FailureDomain: c.domain, Reclaimable: c.reclaimable, VMs: n})
	}
	orders := s.buyer.Decide(now, needed, holdings, offers(d.Fleet), provisioner.Policy{MaxReclaimableShare: 1, DomainLosses: s.losses(now, d), MaxPerDomain: d.Fleet.MaxPerDomain})
	for _, o := range orders {
		c := class{o.FailureDomain, o.Reclaimable}
		vms := coming[c] + o.Change
		if o.Change < 0 {
			// Only what is ready may take the place of what is given back.
			spare := total - needed
			if spare <= 0 || !s.settled(now) {
				continue
			}
			vms = coming[c] - min(spare, -o.Change)
			other := coming[class{o.FailureDomain, !o.Reclaimable}]
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

// ready counts the upstreams that take work, by class.
func (f *fleetManager) ready(now time.Time, deployment string) map[class]int {
	b := f.g.state
	b.mu.Lock()
	defer b.mu.Unlock()
	count := map[class]int{}
	for _, u := range b.upstreams {
		if m, ok := b.moves[deployment]; ok && m.state != mover.Done && u.Version == m.order.To {
			// It comes and goes with the move.
			continue
		}
		if u.Deployment == deployment && !u.Leaving && !b.router.IsLeaving(u.ID) {
			count[class{u.FailureDomain, u.Reclaimable}]++
		}
	}
	return count
}

// coming adds to what is ready what was ordered and may still be booting, and
// leaves out what was given back and has not left the list yet.
func (s *fleetState) coming(now time.Time, d resolver.Deployment, ready map[class]int) map[class]int {
	coming := map[class]int{}
	for c, n := range ready {
		coming[c] = n
	}
	for c, o := range s.ordered {
		if now.Sub(o.at) < d.Fleet.BootTime+listLag {
			coming[c] = o.vms
		} else {
			delete(s.ordered, c)
		}
	}
	return coming
}

// wanted returns the number of upstreams that carry the demand as planned, if
// that is known. Lasting is the number of on-demand VMs, which is what a fleet
// begins with.
func (s *fleetState) wanted(now time.Time, lasting int) (int, bool) {
	switch {
	case !s.seenAt.IsZero() && now.Sub(s.seenAt) >= measureFor:
		return max(1, int(math.Ceil(s.measured-roundingSlack))), true
	case s.seenAt.IsZero() && lasting > s.most:
		s.most, s.mostAt = lasting, now
		s.needed = math.Ceil(firstShare * float64(lasting))
	}
	return int(s.needed), s.needed > 0
}

// settled reports whether VMs may be given back: all that there are have been
// listed.
func (s *fleetState) settled(now time.Time) bool {
	return !s.seenAt.IsZero() || now.Sub(s.mostAt) >= listSettle
}

// engines returns how many engines carry a demand as planned: the larger of
// what its prompts and what its running requests ask for.
func engines(asked demand, engine *resolver.Engine) float64 {
	if engine == nil || engine.Slots <= 0 {
		return 1
	}
	byRunning := asked.Running / (plannedSlots * float64(engine.Slots))
	if asked.Speed <= 0 {
		return byRunning
	}
	byPrompt := asked.Prompt / (plannedUse * asked.Speed)
	return max(byPrompt, min(byRunning, queueFactor*byPrompt))
}

// losses returns the number of domains whose reclaimable VMs the fleet is made
// to outlast. Where none are to be had, what goes next can't be replaced either.
func (s *fleetState) losses(now time.Time, d resolver.Deployment) int {
	if !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < scarceFor*d.Fleet.BootTime {
		return scarceLosses
	}
	return 1
}

// order sends one order. It returns false if there are none to be had.
func (f *fleetManager) order(ctx context.Context, now time.Time, d resolver.Deployment, s *fleetState, c class, vms, ready int) bool {
	holder, fence, may := f.duty.stamp()
	if !may {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := f.g.cfg.Cloud.Order(ctx, FleetOrder{
		Deployment: d.Name, FailureDomain: c.domain, Reclaimable: c.reclaimable, VMs: vms, Holder: holder, Fence: fence,
	})
	f.g.measures.Count("fleet_orders")
	line := f.g.cfg.Log.Info().Str("event", "fleet_ordered").Str("deployment", d.Name).Str("failure_domain", c.domain).
		Bool("reclaimable", c.reclaimable).Int("vms", vms).Int("ready", ready).Float64("needed", s.measured).Uint64("fence", fence)
	if err != nil {
		line.Err(err).Send()
		none := errorx.IsOfType(err, provider.Refused)
		if none {
			s.buyer.RecordRefusal(now, c.domain, c.reclaimable)
			s.refusedAt = now
		}
		return !none
	}
	s.buyer.RecordStart(c.domain, c.reclaimable)
	s.ordered[c] = order{vms: vms, at: now}
	line.Send()
	return true
}
