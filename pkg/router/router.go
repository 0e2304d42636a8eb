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
	// remoteLoadLifetime is how long the other entries' own counts count.
	remoteLoadLifetime = time.Second
	// defaultSlots stands for upstreams that do not say how much they carry.
	defaultSlots = 8
	// defaultMaxSubset bounds the upstreams of a deployment that one entry uses.
	defaultMaxSubset = 96
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

// Request says what an attempt needs.
type Request struct {
	Deployment string
	Version    string
	// AvoidVersion is a version whose upstreams are left out, empty for none.
	AvoidVersion string
	// PrefixHash is the hash of the prompt's shared beginning; 0 means none.
	PrefixHash uint64
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
	// CrossDomainPenalty is added to the score of an upstream in another failure
	// domain, in shares of its slots; nil means 0.30.
	CrossDomainPenalty *float64
	// Choices is the number of upstreams, drawn at random, of which the least
	// loaded is picked; 0 means all. Where many entries share news of load that is
	// some messages old, picking the least of all sends all of them to the same.
	Choices int
}

// Status is what the router knows of one upstream.
type Status struct {
	Upstream
	State        charter.State
	InFlight     int
	Running      int
	SuspectUntil time.Time
}

type record struct {
	Upstream
	state                charter.State
	inFlight             int
	loadAdjustment       float64
	remoteLoad           float64
	remoteLoadAt         time.Time
	inFlightAtReport     int
	running              int
	reportedAt           time.Time
	suspectUntil         time.Time
	consecutiveFailures  int
	failureRate          float64
	failureRateUpdatedAt time.Time
	terminatesAt         time.Time
	listed               bool
}

// Router holds what an entry knows of its upstreams.
type Router struct {
	cfg             Config
	random          *rand.Rand
	records         map[string]*record
	byDeployment    map[string][]*record
	domainPenalties map[string]float64
	entryCount      int
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
	r.byDeployment = map[string][]*record{}
	r.random = rand.New(rand.NewPCG(r.cfg.Seed, xxhash.Sum64String(r.cfg.EntryID)))
	if r.cfg.MaxSubset == 0 {
		r.cfg.MaxSubset = defaultMaxSubset
	}
	if r.cfg.CrossDomainPenalty == nil {
		penalty := defaultCrossDomainPenalty
		r.cfg.CrossDomainPenalty = &penalty
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
		if !rec.listed && rec.inFlight == 0 && !rec.retainsNotice(now) {
			delete(r.records, id)
		}
	}
	r.indexByDeployment()
}

// retainsNotice keeps the memory of a notice while a lagging list could still
// bring the VM back.
func (rec *record) retainsNotice(now time.Time) bool {
	return rec.state == "leaving" && now.Before(rec.terminatesAt.Add(noticeRetention))
}

// noticeRetention is how long a notice is remembered after the VM is gone.
const noticeRetention = 10 * time.Minute

func (r *Router) indexByDeployment() {
	r.byDeployment = map[string][]*record{}
	for _, rec := range r.records {
		if rec.listed {
			r.byDeployment[rec.Deployment] = append(r.byDeployment[rec.Deployment], rec)
		}
	}
	for name, group := range r.byDeployment {
		slices.SortFunc(group, func(a, b *record) int { return strings.Compare(a.ID, b.ID) })
		r.byDeployment[name] = r.subset(group)
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

func (r *Router) applyEvent(id string, event charter.Event) *record {
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

// MarkLeaving records a notice: the upstream gets no new work from now on. An id
// that is not known yet is remembered. It reports whether this was news.
func (r *Router) MarkLeaving(now time.Time, id string, left time.Duration) bool {
	r.init()
	if _, ok := r.records[id]; !ok {
		r.records[id] = &record{Upstream: Upstream{ID: id}, state: charter.Upstream().Initial()}
	}
	news := r.records[id].state != "leaving"
	if rec := r.applyEvent(id, "notice"); rec != nil && news {
		rec.terminatesAt = now.Add(left)
	}
	return news
}

// Suspect keeps new work from an upstream until a time.
func (r *Router) Suspect(id string, until time.Time) {
	if rec := r.applyEvent(id, "suspect"); rec != nil {
		rec.suspectUntil = until
	}
}

const (
	// suspectAfterFailures is the number of failed attempts, without a success in
	// between, after which an upstream gets no new work for a while.
	suspectAfterFailures = 3
	// minSuspectTime and mostRest bound that while, which doubles each time.
	minSuspectTime = time.Second
	maxSuspectTime = 30 * time.Second
)

// RecordFailure records that an attempt on an upstream failed.
func (r *Router) RecordFailure(now time.Time, id string) {
	rec, ok := r.records[id]
	if !ok {
		return
	}
	rec.updateFailureRate(now, 1)
	rec.consecutiveFailures++
	if over := rec.consecutiveFailures - suspectAfterFailures; over >= 0 {
		r.Suspect(id, now.Add(min(maxSuspectTime, minSuspectTime<<min(over, 10))))
	}
}

// RecordSuccess records that an attempt on an upstream went well.
func (r *Router) RecordSuccess(id string) {
	if rec, ok := r.records[id]; ok {
		rec.consecutiveFailures = 0
		rec.failureRate *= 1 - failureRateGain
	}
}

const (
	// failureRateGain is the weight of one outcome in an upstream's share of failures.
	failureRateGain = 0.05
	// failureRateDecay is the time in which that share fades without outcomes, so that
	// an upstream that is passed over is tried again.
	failureRateDecay = 5 * time.Second
)

// updateFailureRate takes an outcome into the share of failures: 1 for a failure.
func (rec *record) updateFailureRate(now time.Time, outcome float64) {
	rec.failureRate = rec.decayedFailureRate(now)
	rec.failureRateUpdatedAt = now
	rec.failureRate += failureRateGain * (outcome - rec.failureRate)
}

// decayedFailureRate returns the share of attempts that failed lately.
func (rec *record) decayedFailureRate(now time.Time) float64 {
	if rec.failureRate == 0 {
		return 0
	}
	return rec.failureRate * math.Exp(-max(0, now.Sub(rec.failureRateUpdatedAt)).Seconds()/failureRateDecay.Seconds())
}

// SetReportedLoad takes an upstream's own load report.
func (r *Router) SetReportedLoad(now time.Time, id string, running, slots int) {
	rec, ok := r.records[id]
	if !ok {
		return
	}
	rec.running = running
	rec.inFlightAtReport = rec.inFlight
	rec.reportedAt = now
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

// AdjustLoad changes what the attempts of this entry load an upstream with beyond
// their number, in requests: a long prompt that is being read delays all others.
func (r *Router) AdjustLoad(id string, change float64) {
	if rec, ok := r.records[id]; ok {
		rec.loadAdjustment = max(0, rec.loadAdjustment+change)
	}
}

// OwnLoad returns what this entry loads each upstream with, in requests.
func (r *Router) OwnLoad() map[string]float64 {
	load := map[string]float64{}
	for id, rec := range r.records {
		if own := rec.ownLoad(); own > 0 {
			load[id] = own
		}
	}
	return load
}

// SetRemoteLoad takes what all other entries load an upstream with, in requests.
// While it is fresh it counts in place of the upstream's own reports.
func (r *Router) SetRemoteLoad(now time.Time, id string, load float64) {
	if rec, ok := r.records[id]; ok {
		rec.remoteLoad, rec.remoteLoadAt = load, now
	}
}

// ownLoad is the load of this entry's attempts.
func (rec *record) ownLoad() float64 { return float64(rec.inFlight) + rec.loadAdjustment }

// SetDomainPenalties sets what the way to upstreams of failure domains costs, in shares of
// their slots, beyond the usual. It replaces what was set before.
func (r *Router) SetDomainPenalties(costs map[string]float64) { r.domainPenalties = costs }

// SetEntryCount tells the router how many entries use the same upstreams.
func (r *Router) SetEntryCount(entries int) { r.entryCount = entries }

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
	for _, rec := range r.eligible(now, Request{Deployment: deployment}) {
		total += rec.slots()
	}
	return total
}

// Eligible lists the upstreams that may take an attempt, by id.
func (r *Router) Eligible(now time.Time, ask Request) []Upstream {
	open := r.eligible(now, ask)
	list := make([]Upstream, 0, len(open))
	for _, rec := range open {
		list = append(list, rec.Upstream)
	}
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// EligibleCount returns the number of upstreams that may take an attempt.
func (r *Router) EligibleCount(now time.Time, ask Request) int { return len(r.eligible(now, ask)) }

// LiveCount returns the number of a deployment's upstreams of a version that take
// new work.
func (r *Router) LiveCount(now time.Time, deployment, version string) int {
	return r.EligibleCount(now, Request{Deployment: deployment, Version: version})
}

// Upstreams returns the ids of the upstreams in use, leaving ones included.
func (r *Router) Upstreams() []Upstream {
	var list []Upstream
	for _, group := range r.byDeployment {
		for _, rec := range group {
			list = append(list, rec.Upstream)
		}
	}
	return list
}

// WithStaleReport lists the upstreams in use whose last report no longer counts.
func (r *Router) WithStaleReport(now time.Time) []Upstream {
	var list []Upstream
	for _, group := range r.byDeployment {
		for _, rec := range group {
			if now.Sub(rec.reportedAt) >= reportLifetime {
				list = append(list, rec.Upstream)
			}
		}
	}
	return list
}

// IsLeaving reports whether an upstream has a notice.
func (r *Router) IsLeaving(id string) bool {
	rec, ok := r.records[id]
	return ok && rec.state == "leaving"
}

// Statuses returns what is known of each upstream, by id.
func (r *Router) Statuses() []Status {
	list := make([]Status, 0, len(r.records))
	for _, rec := range r.records {
		if rec.listed {
			list = append(list, Status{Upstream: rec.Upstream, State: rec.state, InFlight: rec.inFlight, Running: rec.running, SuspectUntil: rec.suspectUntil})
		}
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.ID, b.ID) })
	return list
}
