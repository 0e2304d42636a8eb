package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenahitch/galenahitch/pkg/charter"
)

const (
	// reportLifetime is how long a load report counts.
	reportLifetime = 5 * time.Second
	// elsewhereLifetime is how long the other entries' own counts count.
	elsewhereLifetime = time.Second
	// defaultSlots stands for upstreams that do not say how much they carry.
	defaultSlots = 8
	// maxSubset bounds the upstreams of a deployment that one entry uses.
	maxSubset = 96
)

// Upstream is one upstream as the VM list tells of it.
type Upstream struct {
	ID            string
	Address       string
	Deployment    string
	Version       string
	FailureDomain string
	Slots         int
	PricePerHour  float64
}

// Ask says what an attempt needs.
type Ask struct {
	Deployment string
	Version    string
	// Avoid is a version whose upstreams are left out, empty for none.
	Avoid string
	// Prefix is the hash of the prompt's shared beginning; 0 means none.
	Prefix uint64
	// Exclude lists upstreams that this request has failed on.
	Exclude []string
}

// Config sets a router up. The zero value is useful.
type Config struct {
	// EntryID makes the subsets of entries differ.
	EntryID string
	// FailureDomain is the entry's own.
	FailureDomain string
	// Seed fixes the random choices.
	Seed uint64
	// MaxSubset bounds the upstreams used of one deployment; 0 means 96.
	MaxSubset int
	// RemotePenalty is added to the score of an upstream in another failure
	// domain, in shares of its slots; nil means 0.30.
	RemotePenalty *float64
	// Choices is the number of upstreams, drawn at random, of which the least
	// loaded is picked; 0 means all. Where many entries share news of load that is
	// some messages old, picking the least of all sends all of them to the same.
	Choices int
}

// Status is what the router knows of one upstream.
type Status struct {
	Upstream
	State    charter.State
	InFlight int
	Running  int
	Until    time.Time
}

type record struct {
	Upstream
	state       charter.State
	inFlight    int
	weight      float64
	elsewhere   float64
	elsewhereAt time.Time
	ownAtReport int
	running     int
	reported    time.Time
	suspectTill time.Time
	failures    int
	faults      float64
	faultsAt    time.Time
	goneAt      time.Time
	listed      bool
}

// Router holds what an entry knows of its upstreams.
type Router struct {
	cfg     Config
	random  *rand.Rand
	records map[string]*record
	groups  map[string][]*record
	detours map[string]float64
	entries int
}

// New returns a router.
func New(cfg Config) *Router {
	r := &Router{cfg: cfg}
	r.init()
	return r
}

func (r *Router) init() {
	if r.records != nil {
		return
	}
	r.records = map[string]*record{}
	r.groups = map[string][]*record{}
	r.random = rand.New(rand.NewPCG(r.cfg.Seed, xxhash.Sum64String(r.cfg.EntryID)))
	if r.cfg.MaxSubset == 0 {
		r.cfg.MaxSubset = maxSubset
	}
	if r.cfg.RemotePenalty == nil {
		penalty := remotePenalty
		r.cfg.RemotePenalty = &penalty
	}
}

// Replace takes a new VM list. Upstreams that are no longer listed are gone
// once nothing is in flight on them.
func (r *Router) Replace(now time.Time, list []Upstream) {
	r.init()
	for _, rec := range r.records {
		rec.listed = false
	}
	for _, u := range list {
		rec, ok := r.records[u.ID]
		if !ok {
			rec = &record{state: charter.Upstream().Initial()}
			r.records[u.ID] = rec
		}
		rec.Upstream = u
		rec.listed = true
	}
	for id, rec := range r.records {
		if !rec.listed && rec.inFlight == 0 && !rec.holdsNotice(now) {
			delete(r.records, id)
		}
	}
	r.regroup()
}

// holdsNotice keeps the memory of a notice while a lagging list could still
// bring the VM back.
func (rec *record) holdsNotice(now time.Time) bool {
	return rec.state == "leaving" && now.Before(rec.goneAt.Add(noticeMemory))
}

// noticeMemory is how long a notice is remembered after the VM is gone.
const noticeMemory = 10 * time.Minute

func (r *Router) regroup() {
	r.groups = map[string][]*record{}
	for _, rec := range r.records {
		if rec.listed {
			r.groups[rec.Deployment] = append(r.groups[rec.Deployment], rec)
		}
	}
	for name, group := range r.groups {
		slices.SortFunc(group, func(a, b *record) int { return strings.Compare(a.ID, b.ID) })
		r.groups[name] = r.subset(group)
	}
}

// subset keeps the upstreams that this entry uses, those of its own failure
// domain before others, each part chosen by rendezvous hashing.
func (r *Router) subset(group []*record) []*record {
	if len(group) <= r.cfg.MaxSubset {
		return group
	}
	rank := func(rec *record) uint64 { return xxhash.Sum64String(r.cfg.EntryID + "/" + rec.ID) }
	slices.SortFunc(group, func(a, b *record) int {
		aLocal, bLocal := a.FailureDomain == r.cfg.FailureDomain, b.FailureDomain == r.cfg.FailureDomain
		if aLocal != bLocal {
			if aLocal {
				return -1
			}
			return 1
		}
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	locals := 0
	for locals < len(group) && group[locals].FailureDomain == r.cfg.FailureDomain {
		locals++
	}
	// A quarter of the subset stays for other failure domains, so that the
	// loss of the entry's own leaves it somewhere to go.
	local := min(locals, r.cfg.MaxSubset*3/4)
	remote := min(len(group)-locals, r.cfg.MaxSubset-local)
	return append(slices.Clone(group[:local]), group[locals:locals+remote]...)
}

func (r *Router) step(id string, event charter.Event) *record {
	rec, ok := r.records[id]
	if !ok {
		return nil
	}
	next, err := charter.Upstream().Next(rec.state, event)
	if err != nil {
		return nil
	}
	rec.state = next
	return rec
}

// Leave records a notice: the upstream gets no new work from now on. An id
// that is not known yet is remembered. It reports whether this was news.
func (r *Router) Leave(now time.Time, id string, left time.Duration) bool {
	r.init()
	if _, ok := r.records[id]; !ok {
		r.records[id] = &record{Upstream: Upstream{ID: id}, state: charter.Upstream().Initial()}
	}
	news := r.records[id].state != "leaving"
	if rec := r.step(id, "notice"); rec != nil && news {
		rec.goneAt = now.Add(left)
	}
	return news
}

// Suspect keeps new work from an upstream until a time.
func (r *Router) Suspect(id string, until time.Time) {
	if rec := r.step(id, "suspect"); rec != nil {
		rec.suspectTill = until
	}
}

const (
	// failuresInRow is the number of failed attempts, without a success in
	// between, after which an upstream gets no new work for a while.
	failuresInRow = 3
	// leastRest and mostRest bound that while, which doubles each time.
	leastRest = time.Second
	mostRest  = 30 * time.Second
)

// Fail records that an attempt on an upstream failed.
func (r *Router) Fail(now time.Time, id string) {
	rec, ok := r.records[id]
	if !ok {
		return
	}
	rec.judge(now, 1)
	rec.failures++
	if over := rec.failures - failuresInRow; over >= 0 {
		r.Suspect(id, now.Add(min(mostRest, leastRest<<min(over, 10))))
	}
}

// Succeed records that an attempt on an upstream went well.
func (r *Router) Succeed(id string) {
	if rec, ok := r.records[id]; ok {
		rec.failures = 0
		rec.faults *= 1 - faultStep
	}
}

const (
	// faultStep is the weight of one outcome in an upstream's share of failures.
	faultStep = 0.05
	// faultMemory is the time in which that share fades without outcomes, so that
	// an upstream that is passed over is tried again.
	faultMemory = 5 * time.Second
)

// judge takes an outcome into the share of failures: 1 for a failure.
func (rec *record) judge(now time.Time, outcome float64) {
	rec.faults = rec.faultShare(now)
	rec.faultsAt = now
	rec.faults += faultStep * (outcome - rec.faults)
}

// faultShare returns the share of attempts that failed lately.
func (rec *record) faultShare(now time.Time) float64 {
	if rec.faults == 0 {
		return 0
	}
	return rec.faults * math.Exp(-max(0, now.Sub(rec.faultsAt)).Seconds()/faultMemory.Seconds())
}

// Report takes an upstream's own load report.
func (r *Router) Report(now time.Time, id string, running, slots int) {
	rec, ok := r.records[id]
	if !ok {
		return
	}
	rec.running = running
	rec.ownAtReport = rec.inFlight
	rec.reported = now
	if slots > 0 {
		rec.Slots = slots
	}
}

// Begin counts an attempt that goes to an upstream.
func (r *Router) Begin(id string) {
	if rec, ok := r.records[id]; ok {
		rec.inFlight++
	}
}

// End counts an attempt that ended.
func (r *Router) End(id string) {
	if rec, ok := r.records[id]; ok && rec.inFlight > 0 {
		rec.inFlight--
	}
}

// Weigh changes what the attempts of this entry load an upstream with beyond
// their number, in requests: a long prompt that is being read delays all others.
func (r *Router) Weigh(id string, change float64) {
	if rec, ok := r.records[id]; ok {
		rec.weight = max(0, rec.weight+change)
	}
}

// Load returns what this entry loads each upstream with, in requests.
func (r *Router) Load() map[string]float64 {
	load := map[string]float64{}
	for id, rec := range r.records {
		if own := rec.own(); own > 0 {
			load[id] = own
		}
	}
	return load
}

// Elsewhere takes what all other entries load an upstream with, in requests.
// While it is fresh it counts in place of the upstream's own reports.
func (r *Router) Elsewhere(now time.Time, id string, load float64) {
	if rec, ok := r.records[id]; ok {
		rec.elsewhere, rec.elsewhereAt = load, now
	}
}

// own is the load of this entry's attempts.
func (rec *record) own() float64 { return float64(rec.inFlight) + rec.weight }

// Detour sets what the way to upstreams of failure domains costs, in shares of
// their slots, beyond the usual. It replaces what was set before.
func (r *Router) Detour(costs map[string]float64) { r.detours = costs }

// Share tells the router how many entries use the same upstreams.
func (r *Router) Share(entries int) { r.entries = entries }

// slots returns how many requests an upstream runs at once.
func (rec *record) slots() int {
	if rec.Slots > 0 {
		return rec.Slots
	}
	return defaultSlots
}

// Capacity returns the slots of a deployment's upstreams that take new work.
func (r *Router) Capacity(now time.Time, deployment string) int {
	total := 0
	for _, rec := range r.open(now, Ask{Deployment: deployment}) {
		total += rec.slots()
	}
	return total
}

// Open lists the upstreams that may take an attempt, by id.
func (r *Router) Open(now time.Time, ask Ask) []Upstream {
	open := r.open(now, ask)
	list := make([]Upstream, 0, len(open))
	for _, rec := range open {
		list = append(list, rec.Upstream)
	}
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Count returns the number of upstreams that may take an attempt.
func (r *Router) Count(now time.Time, ask Ask) int { return len(r.open(now, ask)) }

// Live returns the number of a deployment's upstreams of a version that take
// new work.
func (r *Router) Live(now time.Time, deployment, version string) int {
	return r.Count(now, Ask{Deployment: deployment, Version: version})
}

// Listed returns the ids of the upstreams in use, leaving ones included.
func (r *Router) Listed() []Upstream {
	var list []Upstream
	for _, group := range r.groups {
		for _, rec := range group {
			list = append(list, rec.Upstream)
		}
	}
	return list
}

// Stale lists the upstreams in use whose last report no longer counts.
func (r *Router) Stale(now time.Time) []Upstream {
	var list []Upstream
	for _, group := range r.groups {
		for _, rec := range group {
			if now.Sub(rec.reported) >= reportLifetime {
				list = append(list, rec.Upstream)
			}
		}
	}
	return list
}

// Leaving reports whether an upstream has a notice.
func (r *Router) Leaving(id string) bool {
	rec, ok := r.records[id]
	return ok && rec.state == "leaving"
}

// Statuses returns what is known of each upstream, by id.
func (r *Router) Statuses() []Status {
	list := make([]Status, 0, len(r.records))
	for _, rec := range r.records {
		if rec.listed {
			list = append(list, Status{Upstream: rec.Upstream, State: rec.state, InFlight: rec.inFlight, Running: rec.running, Until: rec.suspectTill})
		}
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.ID, b.ID) })
	return list
}
