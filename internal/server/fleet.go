package server

import (
	"context"
	"maps"
	"math"
	"time"

	"github.com/google/uuid"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/planner"
	"github.com/galenahitch/galenahitch/pkg/provisioner"
)

const (
	// fleetInterval is the time between two decisions about the fleet.
	fleetInterval = 2 * time.Second
	// targetUtilization is the share of a VM's slots that demand should fill.
	targetUtilization = 0.7
	// fleetHeadroom is held above the demand in any case.
	fleetHeadroom = 0.1
	// startTimeout is how long a started VM may take to be listed.
	startTimeout = 5 * time.Minute
	// drainTime is given to a VM that is no longer wanted before it stops.
	drainTime = 30 * time.Second
	// peakHalfLife is the time after which a peak of demand has halved.
	peakHalfLife = 5 * time.Minute
)

// fleetManager is the state of the duty that buys and gives back VMs. Only the duty's
// own goroutine uses it. A new holder starts without it: it reads what there
// is from the VM list, and a VM that is still starting is at most bought
// twice.
type fleetManager struct {
	leader           *leader
	nextDecision     time.Time
	provisioners     map[string]*provisioner.Provisioner
	demandPeaks      map[string]float64
	startingVMs      map[string]startingVM
	drainEnds        map[string]time.Time
	recordedReclaims map[string]bool
}

type startingVM struct {
	pool       provisioner.Pool
	deployment string
	startedAt  time.Time
}

func newFleetManager(cfg Config) *fleetManager {
	return &fleetManager{
		leader:       newLeader(cfg, fleetLeadership),
		provisioners: map[string]*provisioner.Provisioner{}, demandPeaks: map[string]float64{},
		startingVMs: map[string]startingVM{}, drainEnds: map[string]time.Time{}, recordedReclaims: map[string]bool{},
	}
}

// reconcileFleet brings each deployment's VMs to what the buyer wants, if the
// answers allow it.
func (s *Server) reconcileFleet(ctx context.Context) {
	now := s.now()
	cfg := s.state.config()
	if cfg == nil || !cfg.Fleet.BuysVMs || now.Before(s.fleet.nextDecision) {
		return
	}
	s.fleet.nextDecision = now.Add(fleetInterval)
	offers, err := s.cfg.Cloud.Offers(ctx)
	if err != nil {
		return
	}
	s.stopDrained(ctx, now)
	for _, d := range cfg.Deployments {
		if s.move(d.Name).InProgress() {
			// The two versions of a move are kept as they are.
			continue
		}
		s.provision(ctx, now, cfg, d, offers)
	}
}

func (s *Server) provision(ctx context.Context, now time.Time, cfg *planner.Config, d planner.Deployment, offers []provider.Offer) {
	b, ok := s.fleet.provisioners[d.Name]
	if !ok {
		b = &provisioner.Provisioner{}
		s.fleet.provisioners[d.Name] = b
	}
	vms, demand := s.vmsAndDemand(now, d.Name)
	s.recordReclaims(now, b, vms)
	holdings := s.currentPools(now, d.Name, vms)
	choices := make([]provisioner.Offer, 0, len(offers))
	for _, o := range offers {
		choices = append(choices, provisioner.Offer{FailureDomain: o.FailureDomain, Reclaimable: o.Reclaimable, PricePerHour: o.PricePerHour})
	}
	policy := provisioner.Policy{MaxReclaimableShare: cfg.Fleet.ReclaimableShare, Headroom: fleetHeadroom}
	for _, o := range b.Decide(now, demand, holdings, choices, policy) {
		if o.Change < 0 {
			s.drainVMs(now, o, vms)
			continue
		}
		s.startVMs(ctx, now, b, d, o)
	}
}

// vmsAndDemand returns a deployment's VMs and the number that its load needs.
func (s *Server) vmsAndDemand(now time.Time, deployment string) ([]provider.VM, int) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	var vms []provider.VM
	for _, vm := range s.state.vms {
		if vm.Role != provider.RoleEntry && vm.Deployment == deployment {
			vms = append(vms, vm)
		}
	}
	busy, slots, count := 0, 0, 0
	for _, status := range s.state.router.Statuses() {
		if status.Deployment == deployment {
			busy += max(status.Running, status.InFlight)
			slots += status.Slots
			count++
		}
	}
	busy += s.state.pool(deployment).limiter.QueueLength() * s.state.tracker.ServingEntries(now)
	if slots == 0 {
		return vms, 1
	}
	needed := float64(busy) * float64(count) / float64(slots) / targetUtilization
	decay := math.Exp2(-fleetInterval.Seconds() / peakHalfLife.Seconds())
	s.fleet.demandPeaks[deployment] = max(needed, s.fleet.demandPeaks[deployment]*decay)
	return vms, max(1, int(math.Ceil(s.fleet.demandPeaks[deployment])))
}

// recordReclaims tells the buyer of reclaims that are news.
func (s *Server) recordReclaims(now time.Time, b *provisioner.Provisioner, vms []provider.VM) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	maps.DeleteFunc(s.fleet.recordedReclaims, func(id string, _ bool) bool { return !s.state.router.IsLeaving(id) })
	for _, vm := range vms {
		_, ours := s.fleet.drainEnds[vm.ID]
		if ours || s.fleet.recordedReclaims[vm.ID] || !s.state.router.IsLeaving(vm.ID) {
			continue
		}
		s.fleet.recordedReclaims[vm.ID] = true
		if vm.Reclaimable {
			b.RecordReclaim(now, vm.FailureDomain)
		}
	}
}

// currentPools counts the VMs that stay, with those that are starting.
func (s *Server) currentPools(now time.Time, deployment string, vms []provider.VM) []provisioner.Pool {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	var holdings []provisioner.Pool
	for _, vm := range vms {
		delete(s.fleet.startingVMs, vm.ID)
		if !s.state.router.IsLeaving(vm.ID) {
			holdings = append(holdings, provisioner.Pool{FailureDomain: vm.FailureDomain, Reclaimable: vm.Reclaimable, VMs: 1})
		}
	}
	for id, starting := range s.fleet.startingVMs {
		switch {
		case now.Sub(starting.startedAt) > startTimeout:
			delete(s.fleet.startingVMs, id)
		case starting.deployment == deployment:
			holdings = append(holdings, starting.pool)
		}
	}
	return holdings
}

// startVMs orders VMs one by one and stops at the first refusal. Each order is
// sent only while the lease holds, with its fence number.
func (s *Server) startVMs(ctx context.Context, now time.Time, b *provisioner.Provisioner, d planner.Deployment, o provisioner.Order) {
	for range o.Change {
		if !s.fleet.leader.leaser.Holds(s.now()) {
			return
		}
		order := provider.StartOrder{
			Token: uuid.NewString(), Fence: s.fleet.leader.leaser.Fence(), Deployment: d.Name, Version: s.currentVersion(d),
			FailureDomain: o.FailureDomain, Reclaimable: o.Reclaimable,
		}
		reply, err := s.cfg.Cloud.Start(ctx, order)
		if err != nil {
			// The same token settles whether it took effect.
			reply, err = s.cfg.Cloud.Start(ctx, order)
		}
		if err != nil || reply.Refused {
			b.RecordRefusal(now, o.FailureDomain, o.Reclaimable)
			s.metrics.Count("starts_refused")
			s.cfg.Log.Info().Str("event", "start_refused").Str("deployment", d.Name).Str("failure_domain", o.FailureDomain).
				Bool("reclaimable", o.Reclaimable).Str("why", reply.Reason).Err(err).Send()
			return
		}
		b.RecordStart(o.FailureDomain, o.Reclaimable)
		s.metrics.Count("vms_started")
		s.fleet.startingVMs[reply.VMID] = startingVM{
			pool: provisioner.Pool{FailureDomain: o.FailureDomain, Reclaimable: o.Reclaimable, VMs: 1}, deployment: d.Name, startedAt: now,
		}
		s.audit("system", "vm_started", reply.VMID, "for "+d.Name+" in "+o.FailureDomain)
	}
}

// currentVersion is the version that a deployment serves with.
func (s *Server) currentVersion(d planner.Deployment) string {
	if m := s.move(d.Name); m.ID != "" {
		return m.Current()
	}
	return d.Version
}

// drainVMs turns work away from VMs that are no longer wanted, by a notice of
// our own.
func (s *Server) drainVMs(now time.Time, o provisioner.Order, vms []provider.VM) {
	left := -o.Change
	for _, vm := range vms {
		_, draining := s.fleet.drainEnds[vm.ID]
		if left == 0 || draining || vm.FailureDomain != o.FailureDomain || vm.Reclaimable != o.Reclaimable {
			continue
		}
		left--
		s.fleet.drainEnds[vm.ID] = now.Add(drainTime)
		s.audit("system", "vm_drained", vm.ID, "no longer wanted in "+vm.FailureDomain)
		s.handleNotices([]provider.Notice{{VMID: vm.ID, RemainingMS: drainTime.Milliseconds()}})
	}
}

// stopDrained stops the VMs whose drain has ended.
func (s *Server) stopDrained(ctx context.Context, now time.Time) {
	for id, end := range s.fleet.drainEnds {
		if now.Before(end) || !s.fleet.leader.leaser.Holds(s.now()) {
			continue
		}
		reply, err := s.cfg.Cloud.Stop(ctx, provider.StopOrder{VMID: id, Fence: s.fleet.leader.leaser.Fence()})
		if err != nil || reply.Refused {
			continue
		}
		delete(s.fleet.drainEnds, id)
		s.metrics.Count("vms_stopped")
		s.audit("system", "vm_stopped", id, "")
	}
}
