package server

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/limiter"
	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/planner"
	"github.com/galenahitch/galenahitch/pkg/recorder"
	"github.com/galenahitch/galenahitch/pkg/retrier"
	"github.com/galenahitch/galenahitch/pkg/router"
	"github.com/galenahitch/galenahitch/pkg/tracker"
)

// state is the entry's state that its goroutines share: configuration, VM list,
// routing, admission, moves and crash records. Its methods hold the lock only
// briefly.
type state struct {
	mu                sync.Mutex
	self              tracker.Member
	cfg               *planner.Config
	encodedConfig     []byte
	vms               []provider.VM
	hasVMList         bool
	vmListAt          time.Time
	router            *router.Router
	tracker           *tracker.Tracker
	isolator          isolator.Isolator
	recorder          *recorder.Recorder
	pools             map[string]*pool
	budgets           map[budgetKey]*retrier.Budget
	reclaimTimes      map[string]time.Time
	bootIDs           map[string]string
	moves             map[string]*moveState
	latencyThresholds map[string]*mover.LatencyThreshold
	pauseThresholds   map[string]*mover.PauseThreshold
	// crashes maps an upstream's ID to the time when its crash was detected.
	crashes map[string]time.Time
	// suspects holds the running attempts of suspect requests by upstream ID.
	suspects map[string][]suspectRun
	random   *rand.Rand
	leaving  bool
	stopping bool
}

type budgetKey struct {
	organisation string
	route        string
}

func newState(cfg Config) *state {
	seed := cfg.Seed
	if seed == 0 {
		seed = xxhash.Sum64String(cfg.Self.ID)
	}
	return &state{
		self:              cfg.Self,
		router:            router.New(router.Config{EntryID: cfg.Self.ID, FailureDomain: cfg.Self.FailureDomain, Seed: seed}),
		tracker:           tracker.New(tracker.Config{Self: cfg.Self}),
		recorder:          recorder.New(recorder.Config{EntryID: cfg.Self.ID}),
		pools:             map[string]*pool{},
		budgets:           map[budgetKey]*retrier.Budget{},
		reclaimTimes:      map[string]time.Time{},
		bootIDs:           map[string]string{},
		moves:             map[string]*moveState{},
		latencyThresholds: map[string]*mover.LatencyThreshold{},
		pauseThresholds:   map[string]*mover.PauseThreshold{},
		suspects:          map[string][]suspectRun{},
		crashes:           map[string]time.Time{},
		random:            rand.New(rand.NewPCG(seed, seed)),
	}
}

// config returns the configuration in force, or nil if there is none.
func (s *state) config() *planner.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg
}

func (s *state) generation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generationLocked()
}

func (s *state) generationLocked() uint64 {
	if s.cfg == nil {
		return 0
	}
	return s.cfg.Generation
}

// applyConfig decodes a configuration and puts it in force if its generation is
// newer than the current one. It reports whether it did.
func (s *state) applyConfig(now time.Time, value []byte) bool {
	cfg, err := planner.Decode(value)
	if err != nil || cfg.Generation == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if cfg.Generation <= s.generationLocked() {
		return false
	}
	s.cfg = &cfg
	s.encodedConfig = value
	s.updateLimits(now)
	return true
}

// deploymentSize returns the number of VMs of an upstream's deployment. The lock must
// be held.
func (s *state) deploymentSize(upstream string) int {
	at := slices.IndexFunc(s.vms, func(vm provider.VM) bool { return vm.ID == upstream })
	if at < 0 {
		return 0
	}
	size := 0
	for _, vm := range s.vms {
		if vm.Role == s.vms[at].Role && vm.Deployment == s.vms[at].Deployment {
			size++
		}
	}
	return size
}

// applyVMList replaces the VM list and updates the router's upstreams and the
// tracker's members from it.
func (s *state) applyVMList(now time.Time, vms []provider.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = vms
	s.hasVMList, s.vmListAt = true, now
	var upstreams []router.Upstream
	var members []tracker.Member
	for _, vm := range vms {
		if vm.Role == provider.RoleEntry {
			members = append(members, tracker.Member{ID: vm.ID, Address: vm.PeerAddress, FailureDomain: vm.FailureDomain})
			continue
		}
		upstreams = append(upstreams, router.Upstream{
			ID: vm.ID, Address: vm.Address, Deployment: vm.Deployment, Version: vm.Version,
			FailureDomain: vm.FailureDomain, Slots: vm.Slots, PricePerHour: vm.PricePerHour,
		})
	}
	listed := make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		listed[u.ID] = true
	}
	maps.DeleteFunc(s.bootIDs, func(id, _ string) bool { return !listed[id] })
	s.router.Replace(now, upstreams)
	s.tracker.UpdateList(now, members)
	for id, reclaimAt := range s.reclaimTimes {
		s.router.MarkLeaving(now, id, reclaimAt.Sub(now))
		s.tracker.MarkLeaving(id)
	}
	s.updateLimits(now)
}

// recordNotice records a reclaim notice. It returns false if the VM's notice was
// recorded before.
func (s *state) recordNotice(now time.Time, n provider.Notice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.reclaimTimes[n.VMID]; found {
		return false
	}
	s.reclaimTimes[n.VMID] = now.Add(n.Remaining())
	s.router.MarkLeaving(now, n.VMID, n.Remaining())
	s.tracker.MarkLeaving(n.VMID)
	if n.VMID == s.self.ID {
		s.leaving = true
	}
	s.updateLimits(now)
	return true
}

// forgetNotice deletes a VM's notice, so that another one can be recorded.
func (s *state) forgetNotice(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reclaimTimes, id)
}

// recentNotices returns the notices to send to peers. The lock must be held.
func (s *state) recentNotices(now time.Time) []provider.Notice {
	var notices []provider.Notice
	for id, reclaimAt := range s.reclaimTimes {
		if now.Sub(reclaimAt) < noticeRetention {
			notices = append(notices, provider.Notice{VMID: id, RemainingMS: max(0, reclaimAt.Sub(now).Milliseconds())})
		}
	}
	return notices
}

// noticeRetention is the time after a VM's reclaim during which its notice is still
// sent to peers.
const noticeRetention = time.Minute

// dropOldNotices deletes notices of VMs that were reclaimed more than
// 10*noticeRetention ago. By then no peer sends them any more.
func (s *state) dropOldNotices(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, reclaimAt := range s.reclaimTimes {
		if now.Sub(reclaimAt) > 10*noticeRetention {
			delete(s.reclaimTimes, id)
		}
	}
}

// pool returns the admission state of a deployment. The lock must be held.
func (s *state) pool(deployment string) *pool {
	p, ok := s.pools[deployment]
	if !ok {
		p = &pool{waiters: map[limiter.Ticket]chan bool{}}
		s.pools[deployment] = p
	}
	return p
}

// updateLimits sets the limits from the capacity of the upstreams and the number of
// entries that share them. The lock must be held.
func (s *state) updateLimits(now time.Time) {
	if s.cfg == nil {
		return
	}
	entries := s.tracker.ServingEntries(now)
	s.router.SetEntryCount(entries)
	for _, d := range s.cfg.Deployments {
		p := s.pool(d.Name)
		slots := s.router.Capacity(now, d.Name)
		p.limiter.SetCapacity(entrySlots(slots, entries))
		p.notify(p.limiter.AdmitQueued(now))
	}
}

// oversubscription is the factor by which an entry may exceed its even share of the
// slots, since the load balancer in front of the entries does not spread requests
// evenly.
const oversubscription = 2

// entrySlots returns the number of a deployment's slots that one of the entries may
// use.
func entrySlots(slots, entries int) int {
	if slots == 0 {
		return 0
	}
	return max(1, min(slots, slots*oversubscription/max(1, entries)))
}

// retryBudget returns the retry budget of an organisation's route. The lock must be
// held.
func (s *state) retryBudget(key budgetKey) *retrier.Budget {
	b, ok := s.budgets[key]
	if !ok {
		b = &retrier.Budget{}
		s.budgets[key] = b
	}
	return b
}

// recordAudit adds a record to the audit trail, with the generation in force.
func (s *state) recordAudit(now time.Time, record recorder.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record.Generation = s.generationLocked()
	s.recorder.Add(now, record)
}

// ready reports whether the load balancer may send requests to this entry, and if
// not, why.
func (s *state) ready() (bool, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopping:
		return false, "stopping"
	case s.leaving:
		return false, "this VM is being reclaimed"
	case s.cfg == nil:
		return false, "no configuration: none submitted, or neither the platform nor a peer could be asked"
	case !s.hasVMList:
		return false, "no VM list: neither the platform nor a peer could be asked"
	default:
		return true, ""
	}
}
