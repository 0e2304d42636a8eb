package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenahitch/galenahitch/pkg/charter"
	"github.com/galenahitch/galenahitch/pkg/predictor"
	"github.com/galenahitch/galenahitch/pkg/prefixer"
	"github.com/galenahitch/galenahitch/pkg/warmer"
)

const (
	// reportLifetime is the age up to which an upstream's load report is used.
	reportLifetime = 5 * time.Second
	// remoteLoadLifetime is the age up to which the load reported by other
	// entries is used.
	remoteLoadLifetime = time.Second
	// defaultSlots is the number of slots of an upstream that reports none.
	defaultSlots = 8
	// defaultMaxSubset is the maximum number of upstreams of a deployment that
	// one entry uses, unless configured otherwise.
	defaultMaxSubset = 96
	// defaultTokensPerLoad is the default of Config.TokensPerLoad.
	defaultTokensPerLoad = 1500
)

// Upstream is one upstream of the VM list.
type Upstream struct {
	ID            string
	Address       string
	Deployment    string
	Version       string
	FailureDomain string
	Slots         int
	PricePerHour  float64
	// ColdFor is how long the upstream stays cold from when it was listed.
	ColdFor time.Duration
	// ColdListing differs between two listings of ColdFor that both count from when they were
	// listed.
	ColdListing uint64
}

// Request describes the attempt that needs an upstream.
type Request struct {
	Deployment string
	Version    string
	// AvoidVersions excludes the upstreams of versions.
	AvoidVersions []string
	// PrefixHash is the hash of the prompt prefix that requests share; 0 means
	// no affinity.
	PrefixHash uint64
	// IgnoreLoad chooses the upstream by PrefixHash alone, so that all entries with the same
	// list choose the same one.
	IgnoreLoad bool
	// Parts are the parts of the prompt in order, SharedTokens the number of tokens up to the
	// part of which PrefixHash is the hash. They are used with Config.Prefixes.
	Parts        []prefixer.Part
	SharedTokens int
	// Work is the load that the request adds, in requests; 0 means 1.
	Work float64
	// Exclude lists the ids of upstreams on which this request has failed.
	Exclude []string
	// Domains are the failure domains whose upstreams may get the request; nil means all.
	Domains map[string]bool
}

// Config configures a Router. The zero value is valid.
type Config struct {
	// EntryID seeds the choice of the subset, so that entries use different ones.
	EntryID string
	// FailureDomain is the failure domain of the entry; empty turns
	// CrossDomainPenalty off.
	FailureDomain string
	// Seed seeds the random choices, together with EntryID.
	Seed uint64
	// MaxSubset is the maximum number of upstreams used per deployment; 0 means 96.
	MaxSubset int
	// CrossDomainPenalty is added to the score of an upstream in another failure
	// domain, as a share of its slots; nil means 0.30.
	CrossDomainPenalty *float64
	// Choices is the number of upstreams sampled at random, of which the least
	// loaded is picked; 0 means all. Many entries with the same, slightly old
	// load data would all pick the same least loaded upstream if they compared
	// all of them.
	Choices int
	// Predictor has the learnt speeds of the upstreams; nil means that scores depend on
	// load and penalties only.
	Predictor *predictor.Predictor
	// Prefixes has the parts of prompts that upstreams hold; nil means that a prefix is kept
	// on its upstream up to a bound of the load, whatever it saves.
	Prefixes *prefixer.Index
	// TokensPerLoad is the number of prompt tokens whose reading takes as long as one more
	// request in the load delays others; 0 means 1,500. Prefixes are weighed with it.
	TokensPerLoad float64
}

// Status is the state of one upstream in a Router.
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
	backoff              backoff
	consecutiveFailures  int
	failureRate          float64
	failureRateUpdatedAt time.Time
	leavingSource        Source
	leavingSince         time.Time
	terminatesAt         time.Time
	listed               bool
	listedAt             time.Time
	// coldUntil is when the upstream has warmed up, coldListed and coldListing the ColdFor
	// and ColdListing that say so. warmUp is the gradual return after it,
	// warmedUp says that it has begun.
	coldUntil   time.Time
	coldListed  time.Duration
	coldListing uint64
	warmUp      backoff
	warmedUp    bool
	// reported is what Changes returned last.
	reported Admission
}

// Router holds the state of the upstreams of an entry.
type Router struct {
	cfg             Config
	random          *rand.Rand
	records         map[string]*record
	byDeployment    map[string][]*record
	domainPenalties map[string]float64
	entryCount      int
	// unreachableDomains are the failure domains whose upstreams get no requests.
	unreachableDomains map[string]bool
	// evacuatedDomains are the failure domains that operators have evacuated.
	evacuatedDomains map[string]bool
	coldRates        map[string]float64
	warmer           warmer.Warmer
	unlistedChanges  []Change
}

// New returns a Router without upstreams.
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
	if r.cfg.TokensPerLoad == 0 {
		r.cfg.TokensPerLoad = defaultTokensPerLoad
	}
	if r.cfg.CrossDomainPenalty == nil {
		penalty := defaultCrossDomainPenalty
		r.cfg.CrossDomainPenalty = &penalty
	}
}

// Replace sets the VM list. Upstreams that are no longer listed get no new work.
// Replace removes them once no attempt of this entry is in flight on them; one with
// a notice is kept until noticeRetention after its termination time, or after it was
// last listed.
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
		rec.listed, rec.listedAt = true, now
		r.updateCold(now, rec)
	}
	for id, rec := range r.records {
		if !rec.listed {
			r.reportUnlisted(rec)
		}
		if !rec.listed && rec.inFlight == 0 && !rec.retainsNotice(now) {
			r.warmer.Forget(id)
			if r.cfg.Predictor != nil {
				r.cfg.Predictor.Forget(rec.Deployment, id)
			}
			if r.cfg.Prefixes != nil {
				r.cfg.Prefixes.Forget(rec.Deployment, id)
			}
			delete(r.records, id)
		}
	}
	r.indexByDeployment()
}

// retainsNotice reports whether the notice of an upstream must be kept, since an
// outdated list could still contain the VM.
func (rec *record) retainsNotice(now time.Time) bool {
	return rec.state == "leaving" && (now.Before(rec.terminatesAt.Add(noticeRetention)) || now.Before(rec.listedAt.Add(noticeRetention)))
}

// noticeRetention is how long a notice is kept after the VM's termination time, and after
// its removal from the list.
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

// subset returns the upstreams that this entry uses, at most cfg.MaxSubset. Three
// quarters come from the entry's own failure domain, if it has that many, the
// others from other failure domains; both parts are chosen by rendezvous hashing.
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
	// A quarter of the subset is reserved for other failure domains, so that the
	// entry has upstreams left if its own failure domain fails.
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

// MarkLeaving records a notice: the upstream gets no new work from now on, and
// its VM terminates after the remaining time. A notice for an id that is not in the
// list yet is kept. MarkLeaving returns false if the upstream was leaving already.
func (r *Router) MarkLeaving(now time.Time, id string, remaining time.Duration) bool {
	return r.markLeaving(now, id, remaining, SourceList)
}

func (r *Router) markLeaving(now time.Time, id string, remaining time.Duration, source Source) bool {
	r.init()
	if _, ok := r.records[id]; !ok {
		r.records[id] = &record{Upstream: Upstream{ID: id}, state: charter.Upstream().Initial()}
	}
	isNew := r.records[id].state != "leaving"
	if rec := r.applyEvent(id, "notice"); rec != nil && isNew {
		rec.terminatesAt, rec.leavingSince, rec.leavingSource = now.Add(remaining), now, source
	}
	return isNew
}

// Suspect makes an upstream a suspect: it gets no new work until the given time,
// unless all eligible upstreams are suspects.
func (r *Router) Suspect(id string, until time.Time) {
	if rec := r.applyEvent(id, "suspect"); rec != nil {
		rec.suspectUntil = until
	}
}

const (
	// suspectAfterFailures is the number of consecutive failed attempts after
	// which an upstream becomes a suspect.
	suspectAfterFailures = 3
	// minSuspectTime and maxSuspectTime bound the time as a suspect, which
	// doubles with each further failure.
	minSuspectTime = time.Second
	maxSuspectTime = 30 * time.Second
)

// RecordFailure records a failed attempt on an upstream.
func (r *Router) RecordFailure(now time.Time, id string) {
	rec, ok := r.records[id]
	if !ok {
		return
	}
	rec.updateFailureRate(now, 1)
	rec.consecutiveFailures++
	if excess := rec.consecutiveFailures - suspectAfterFailures; excess >= 0 {
		r.Suspect(id, now.Add(min(maxSuspectTime, minSuspectTime<<min(excess, 10))))
	}
}

// RecordSuccess records a successful attempt on an upstream.
func (r *Router) RecordSuccess(id string) {
	if rec, ok := r.records[id]; ok {
		rec.consecutiveFailures = 0
		rec.failureRate *= 1 - failureRateGain
	}
}

const (
	// failureRateGain is the weight of the newest outcome in an upstream's
	// failure rate, an exponentially weighted moving average.
	failureRateGain = 0.05
	// failureRateDecay is the time constant with which the failure rate decays
	// while there are no failures, so that an upstream that is passed over gets
	// attempts again.
	failureRateDecay = 5 * time.Second
)

// updateFailureRate adds an outcome to the failure rate: 1 for a failure.
func (rec *record) updateFailureRate(now time.Time, outcome float64) {
	rec.failureRate = rec.decayedFailureRate(now)
	rec.failureRateUpdatedAt = now
	rec.failureRate += failureRateGain * (outcome - rec.failureRate)
}

// decayedFailureRate returns the failure rate at now, from 0 to 1.
func (rec *record) decayedFailureRate(now time.Time) float64 {
	if rec.failureRate == 0 {
		return 0
	}
	return rec.failureRate * math.Exp(-max(0, now.Sub(rec.failureRateUpdatedAt)).Seconds()/failureRateDecay.Seconds())
}

// SetReportedLoad records the number of running requests and of slots that an
// upstream reported; slots is ignored unless positive.
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

// Begin counts an attempt sent to an upstream. Each Begin is paired with an End.
func (r *Router) Begin(id string) {
	if rec, ok := r.records[id]; ok {
		rec.inFlight++
		rec.backoff.begun++
		rec.warmUp.begun++
	}
}

// End counts an attempt on an upstream that ended.
func (r *Router) End(id string) {
	if rec, ok := r.records[id]; ok && rec.inFlight > 0 {
		rec.inFlight--
	}
}

// AdjustLoad adds change, in requests, to the load adjustment of an upstream:
// the load of this entry's attempts beyond their number. The prefill of a long
// prompt, for example, delays all other requests on the upstream. The adjustment
// does not fall below 0.
func (r *Router) AdjustLoad(id string, change float64) {
	if rec, ok := r.records[id]; ok {
		rec.loadAdjustment = max(0, rec.loadAdjustment+change)
	}
}

// OwnLoad returns the load that this entry puts on each upstream, in requests,
// by upstream id. Upstreams without load are left out.
func (r *Router) OwnLoad() map[string]float64 {
	load := map[string]float64{}
	for id, rec := range r.records {
		if own := rec.ownLoad(); own > 0 {
			load[id] = own
		}
	}
	return load
}

// SetRemoteLoad records the load that all other entries together put on an
// upstream, in requests. For one second it is used instead of the upstream's own
// load reports.
func (r *Router) SetRemoteLoad(now time.Time, id string, load float64) {
	if rec, ok := r.records[id]; ok {
		rec.remoteLoad, rec.remoteLoadAt = load, now
	}
}

// ownLoad returns the load of this entry's attempts, in requests.
func (rec *record) ownLoad() float64 { return float64(rec.inFlight) + rec.loadAdjustment }

// SetDomainPenalties sets penalties by failure domain, as shares of an upstream's
// slots. They are added to the scores of the domain's upstreams, besides
// Config.CrossDomainPenalty, and replace those of an earlier call.
func (r *Router) SetDomainPenalties(penalties map[string]float64) { r.domainPenalties = penalties }

// SetEntryCount sets the number of entries that use the same upstreams, this
// entry included.
func (r *Router) SetEntryCount(entries int) { r.entryCount = entries }

// slots returns the number of requests that an upstream runs at once.
func (rec *record) slots() int {
	if rec.Slots > 0 {
		return rec.Slots
	}
	return defaultSlots
}

// Capacity returns the number of slots of a deployment's eligible upstreams.
func (r *Router) Capacity(now time.Time, deployment string) int {
	total := 0
	for _, rec := range r.eligible(now, Request{Deployment: deployment}) {
		total += rec.slots()
	}
	return total
}

// Eligible returns the upstreams that may get the attempt, ordered by id. If all
// of them are suspects, it returns the suspects.
func (r *Router) Eligible(now time.Time, req Request) []Upstream {
	eligible := r.eligible(now, req)
	list := make([]Upstream, 0, len(eligible))
	for _, rec := range eligible {
		list = append(list, rec.Upstream)
	}
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// EligibleCount returns the number of upstreams that may get the attempt.
func (r *Router) EligibleCount(now time.Time, req Request) int { return len(r.eligible(now, req)) }

// EligibleVersionCount returns the number of a deployment's eligible upstreams that
// run a version.
func (r *Router) EligibleVersionCount(now time.Time, deployment, version string) int {
	return r.EligibleCount(now, Request{Deployment: deployment, Version: version})
}

// Upstreams returns the listed upstreams that this entry uses, leaving ones
// included, in no particular order.
func (r *Router) Upstreams() []Upstream {
	var list []Upstream
	for _, group := range r.byDeployment {
		for _, rec := range group {
			list = append(list, rec.Upstream)
		}
	}
	return list
}

// UpstreamsWithStaleReport returns the upstreams in use whose last load report is at
// least 5 seconds old or missing.
func (r *Router) UpstreamsWithStaleReport(now time.Time) []Upstream {
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

// Statuses returns the state of each listed upstream, ordered by id.
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
