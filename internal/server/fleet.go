package server

import (
	"context"
	"maps"
	"math"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/planner"
	"github.com/galenahitch/galenahitch/pkg/provisioner"
)

const (
	// fleetInterval is the time between two decisions about the fleet.
	fleetInterval = 2 * time.Second
	// targetUtilization is the share of a VM's slots that running and queued
	// requests should occupy.
	targetUtilization = 0.7
	// fleetHeadroom is the spare capacity to provision, as a share of the demand.
	fleetHeadroom = 0.1
	// startTimeout is how long a started VM may take to appear in the VM list.
	startTimeout = 5 * time.Minute
	// drainTime is the time between the notice to a surplus VM and its stop.
	drainTime = 30 * time.Second
	// peakHalfLife is the half-life of the peak of a deployment's demand.
	peakHalfLife = 5 * time.Minute
)

// fleetManager is the state of the leader that orders and stops VMs. Only the
// leader's goroutine uses it. A new leader starts with an empty state and reads
// the VM list; at worst it orders another VM although one is still starting.
type fleetManager struct {
	leader       *leader
	nextDecision time.Time
	// fence is the fence of the term that provisioners and demandPeaks are from.
	fence uint64
	// provisioners and demandPeaks, in VMs, are by deployment.
	provisioners map[string]*provisioner.Provisioner
	demandPeaks  map[string]float64
	// startingVMs are VMs that were ordered and are not listed yet, drainEnds the
	// VMs that this leader drains, recordedReclaims those whose reclaim the
	// provisioner has recorded; all by VM ID.
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

// observeTerm drops what was observed in an earlier term: a surplus must have lasted
// without a gap.
func (f *fleetManager) observeTerm() {
	if fence := f.leader.leaser.Fence(); fence != f.fence {
		f.fence = fence
		clear(f.provisioners)
		clear(f.demandPeaks)
	}
}

// reconcileFleet orders and drains VMs as the provisioners decide, if the
// configuration allows it.
func (s *Server) reconcileFleet(ctx context.Context) {
	now := s.now()
	cfg := s.state.config()
	if cfg == nil || !cfg.Fleet.ProvisionsVMs || now.Before(s.fleet.nextDecision) {
		return
	}
	s.fleet.nextDecision = now.Add(fleetInterval)
	offers, err := s.cfg.Cloud.Offers(ctx)
	s.observeCall("offers", err)
	if err != nil {
		return
	}
	s.fleet.observeTerm()
	s.stopDrained(ctx, now)
	for _, d := range cfg.Deployments {
		if s.move(d.Name).InProgress() {
			// The fleet is not changed while two versions are compared.
			continue
		}
		s.provision(ctx, now, cfg, d, offers)
	}
}

// provision carries out one decision of a deployment's provisioner.
func (s *Server) provision(ctx context.Context, now time.Time, cfg *planner.Config, d planner.Deployment, offers []provider.Offer) {
	prov, ok := s.fleet.provisioners[d.Name]
	if !ok {
		prov = &provisioner.Provisioner{}
		s.fleet.provisioners[d.Name] = prov
	}
	vms, demand := s.vmsAndDemand(now, d.Name)
	s.recordReclaims(now, prov, vms)
	pools := s.currentPools(now, d.Name, vms)
	classOffers := make([]provisioner.Offer, 0, len(offers))
	for _, o := range offers {
		classOffers = append(classOffers, provisioner.Offer{FailureDomain: o.FailureDomain, Reclaimable: o.Reclaimable, PricePerHour: o.PricePerHour})
	}
	policy := provisioner.Policy{MaxReclaimableShare: cfg.Fleet.ReclaimableShare, Headroom: fleetHeadroom}
	for _, o := range prov.Decide(now, demand, pools, classOffers, policy) {
		if o.Change < 0 {
			s.drainVMs(now, o, vms)
			continue
		}
		s.startVMs(ctx, now, prov, d, o)
	}
}

// vmsAndDemand returns a deployment's VMs and the number of VMs that it needs:
// the decaying peak of the running and queued requests, at least 1.
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

// recordReclaims records each new reclaim of a reclaimable VM with the
// provisioner. VMs that this leader drains are not reclaims.
func (s *Server) recordReclaims(now time.Time, prov *provisioner.Provisioner, vms []provider.VM) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	maps.DeleteFunc(s.fleet.recordedReclaims, func(id string, _ bool) bool { return !s.state.router.IsLeaving(id) })
	for _, vm := range vms {
		_, draining := s.fleet.drainEnds[vm.ID]
		if draining || s.fleet.recordedReclaims[vm.ID] || !s.state.router.IsLeaving(vm.ID) {
			continue
		}
		s.fleet.recordedReclaims[vm.ID] = true
		if vm.Reclaimable {
			prov.RecordReclaim(now, vm.FailureDomain)
		}
	}
}

// currentPools lists the VMs that are not leaving, one pool for each, and the VMs
// that are starting.
func (s *Server) currentPools(now time.Time, deployment string, vms []provider.VM) []provisioner.Pool {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	var pools []provisioner.Pool
	for _, vm := range vms {
		delete(s.fleet.startingVMs, vm.ID)
		if !s.state.router.IsLeaving(vm.ID) {
			pools = append(pools, provisioner.Pool{FailureDomain: vm.FailureDomain, Reclaimable: vm.Reclaimable, VMs: 1})
		}
	}
	for id, pending := range s.fleet.startingVMs {
		switch {
		case now.Sub(pending.startedAt) > startTimeout:
			delete(s.fleet.startingVMs, id)
		case pending.deployment == deployment:
			pools = append(pools, pending.pool)
		}
	}
	return pools
}

// startVMs orders VMs one by one and stops at the first refusal.
func (s *Server) startVMs(ctx context.Context, now time.Time, prov *provisioner.Provisioner, d planner.Deployment, o provisioner.Order) {
	for range o.Change {
		order := provider.StartOrder{
			Token: uuid.NewString(), Holder: s.cfg.Self.ID, Fence: s.fleet.leader.leaser.Fence(), Deployment: d.Name, Version: s.currentVersion(d),
			FailureDomain: o.FailureDomain, Reclaimable: o.Reclaimable,
		}
		reply, err := s.sendStart(ctx, order)
		if err != nil {
			// The token makes the second order idempotent: its reply says whether
			// the first one took effect.
			reply, err = s.sendStart(ctx, order)
		}
		if errorx.IsOfType(err, provider.GuardFailed) {
			return
		}
		if err != nil || reply.Refused {
			prov.RecordRefusal(now, o.FailureDomain, o.Reclaimable)
			s.metrics.Count("starts_refused")
			return
		}
		prov.RecordStart(o.FailureDomain, o.Reclaimable)
		s.metrics.Count("vms_started")
		s.fleet.startingVMs[reply.VMID] = startingVM{
			pool: provisioner.Pool{FailureDomain: o.FailureDomain, Reclaimable: o.Reclaimable, VMs: 1}, deployment: d.Name, startedAt: now,
		}
		s.audit("system", "vm_started", reply.VMID, "for "+d.Name+" in "+o.FailureDomain)
	}
}

// sendStart sends one order for a VM, if this entry is the leader, and logs it.
func (s *Server) sendStart(ctx context.Context, order provider.StartOrder) (provider.OrderReply, error) {
	sentAt := s.leaseNow()
	ctx, cancel, err := s.leaderContext(ctx, sentAt, s.fleet.leader)
	if err != nil {
		return provider.OrderReply{}, err
	}
	defer cancel()
	reply, err := s.cfg.Cloud.Start(ctx, order)
	s.logOrder("vm_start", order.Fence, sentAt).Str("deployment", order.Deployment).Str("failure_domain", order.FailureDomain).
		Bool("reclaimable", order.Reclaimable).Str("vm", reply.VMID).Bool("refused", reply.Refused).Str("reason", reply.Reason).Err(err).Send()
	return reply, err
}

// sendStop sends one order to stop a VM, if this entry is the leader, and logs it.
func (s *Server) sendStop(ctx context.Context, order provider.StopOrder) (provider.OrderReply, error) {
	sentAt := s.leaseNow()
	ctx, cancel, err := s.leaderContext(ctx, sentAt, s.fleet.leader)
	if err != nil {
		return provider.OrderReply{}, err
	}
	defer cancel()
	reply, err := s.cfg.Cloud.Stop(ctx, order)
	s.logOrder("vm_stop", order.Fence, sentAt).Str("vm", order.VMID).Bool("refused", reply.Refused).Str("reason", reply.Reason).Err(err).Send()
	return reply, err
}

// logOrder begins a line about an order with its fence, the time that was left of the
// lease when it was sent, and its duration.
func (s *Server) logOrder(event string, fence uint64, sentAt time.Time) *zerolog.Event {
	return s.cfg.Log.Info().Str("event", event).Uint64("fence", fence).Dur("lease_left", s.fleet.leader.leaser.Left(sentAt)).Dur("took", s.leaseNow().Sub(sentAt))
}

// currentVersion returns the version that new VMs of a deployment start with.
func (s *Server) currentVersion(d planner.Deployment) string {
	if m := s.move(d.Name); m.ID != "" {
		return m.Current()
	}
	return d.Version
}

// drainVMs drains surplus VMs: this entry, if it is the leader, issues a notice for
// each, as for a reclaim.
func (s *Server) drainVMs(now time.Time, o provisioner.Order, vms []provider.VM) {
	remaining := -o.Change
	for _, vm := range vms {
		if !s.fleet.leader.leaser.Holds(s.leaseNow()) {
			return
		}
		_, draining := s.fleet.drainEnds[vm.ID]
		if remaining == 0 || draining || vm.FailureDomain != o.FailureDomain || vm.Reclaimable != o.Reclaimable {
			continue
		}
		remaining--
		s.audit("system", "vm_drained", vm.ID, "no longer wanted in "+vm.FailureDomain)
		s.announceDrain(now, vm.ID)
	}
}

// announceDrain sends entries a notice of a VM that will be stopped after drainTime.
func (s *Server) announceDrain(now time.Time, id string) {
	s.fleet.drainEnds[id] = now.Add(drainTime)
	s.handleNotices([]provider.Notice{{VMID: id, RemainingMS: drainTime.Milliseconds()}})
}

// stopDrained stops the VMs whose drain time has passed. A stop that fails is
// tried again in the next round. If it could not be stopped for so long that the notice
// is not sent to peers any more, entries that started since may use the VM, and it is
// announced again.
func (s *Server) stopDrained(ctx context.Context, now time.Time) {
	for id, end := range s.fleet.drainEnds {
		if now.Before(end) {
			continue
		}
		if now.Sub(end) >= noticeRetention {
			s.state.forgetNotice(id)
			s.announceDrain(now, id)
			continue
		}
		reply, err := s.sendStop(ctx, provider.StopOrder{VMID: id, Holder: s.cfg.Self.ID, Fence: s.fleet.leader.leaser.Fence()})
		if err != nil || reply.Refused {
			continue
		}
		delete(s.fleet.drainEnds, id)
		s.metrics.Count("vms_stopped")
		s.audit("system", "vm_stopped", id, "")
	}
}
