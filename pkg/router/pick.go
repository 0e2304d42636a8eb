package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenahitch/galenahitch/pkg/predictor"
)

const (
	// prefixLoadFactor times the mean score is the score up to which an upstream
	// gets the requests of its prefixes; above that they go to the next upstream
	// in rendezvous order.
	prefixLoadFactor = 1.25
	// prefixAllowance is added to that bound, as a share of an upstream's slots,
	// so that affinity is kept at low load.
	prefixAllowance = 0.1
	// prefixSpareSlots is the estimated number of free slots that an upstream
	// must have to get a request because of its prefix.
	prefixSpareSlots = 2
	// ownCountWeight is the weight of this entry's in-flight count times the
	// number of entries in the load estimate; the load report has the rest.
	ownCountWeight = 0.3
	// defaultCrossDomainPenalty is added to the score of an upstream in another
	// failure domain, as a share of its slots, unless configured otherwise.
	defaultCrossDomainPenalty = 0.30
	// pricePenalty is added to the score, as a share of slots, for a price of 1 per
	// hour; the most expensive upstream is assumed to have about that price.
	pricePenalty = 0.05
)

// Pick chooses an upstream for an attempt. It returns false if none is eligible.
// The caller counts the attempt with Begin.
func (r *Router) Pick(now time.Time, req Request) (Upstream, bool) {
	r.init()
	eligible := r.eligible(now, req)
	if len(eligible) == 0 {
		return Upstream{}, false
	}
	score := r.scorer(now, req)
	switch {
	case req.IgnoreLoad:
		return r.recordPicked(now, firstByRank(req.PrefixHash, eligible)), true
	case req.PrefixHash != 0 && r.cfg.Prefixes != nil && len(req.Parts) > 0:
		return r.recordPicked(now, r.pickByHeldParts(now, req, eligible, score)), true
	case req.PrefixHash != 0:
		return r.recordPicked(now, r.pickByPrefix(now, req, eligible, score)), true
	}
	return r.recordPicked(now, r.pickLeastLoaded(now, eligible, score)), true
}

func (r *Router) eligible(now time.Time, req Request) []*record {
	group := r.byDeployment[req.Deployment]
	eligible := make([]*record, 0, len(group))
	var suspects, cold, warmed []*record
	for _, rec := range group {
		if !req.allows(rec) || slices.Contains(req.Exclude, rec.ID) {
			continue
		}
		a := r.admission(now, rec)
		switch a.Cause {
		case CauseNone:
			eligible = append(eligible, rec)
		case CauseRecovering:
			// One that has warmed up bears requests; only the herd is to be avoided.
			if a.Source == SourceList {
				warmed = append(warmed, rec)
			}
		case CauseSuspect:
			if !r.isCold(now, rec) || r.warmer.Allows(now, rec.ID, r.coldRates[rec.Deployment]) {
				suspects = append(suspects, rec)
			}
		case CauseCold:
			if r.warmer.Allows(now, rec.ID, r.coldRates[rec.Deployment]) {
				cold = append(cold, rec)
			}
		}
	}
	if len(eligible) == 0 && len(warmed) > 0 {
		return warmed
	}
	if len(eligible) == 0 && len(cold) > 0 {
		return cold
	}
	if len(eligible) == 0 {
		// If all are suspects, the state does not distinguish a faulty upstream from
		// the others, so all of them are eligible.
		return suspects
	}
	return eligible
}

// allows reports whether the request may go to an upstream.
func (req Request) allows(rec *record) bool {
	return req.allowsVersion(rec.Version) && (req.Domains == nil || req.Domains[rec.FailureDomain])
}

// allowsVersion reports whether the request may go to an upstream with a version.
func (req Request) allowsVersion(version string) bool {
	return (req.Version == "" || version == req.Version) && !slices.Contains(req.AvoidVersions, version)
}

const (
	// failureRateMargin is the excess of an upstream's failure rate over the mean
	// of the others that is not penalised.
	failureRateMargin = 0.15
	// failureRatePenalty times the excess beyond the margin is added to the score,
	// as a share of slots.
	failureRatePenalty = 3.0
)

// failurePenalty returns a function that computes the penalty of an upstream
// whose failure rate is above the mean of the others.
func (r *Router) failurePenalty(now time.Time, eligible []*record) func(*record) float64 {
	total := 0.0
	for _, rec := range eligible {
		total += rec.decayedFailureRate(now)
	}
	if total == 0 || len(eligible) == 1 {
		return func(*record) float64 { return 0 }
	}
	return func(rec *record) float64 {
		rate := rec.decayedFailureRate(now)
		others := (total - rate) / float64(len(eligible)-1)
		return failureRatePenalty * max(0, rate-others-failureRateMargin)
	}
}

// pickLeastLoaded returns the upstream with the lowest score, among a random
// sample if cfg.Choices is set. The scan starts at a random index, to break ties.
func (r *Router) pickLeastLoaded(now time.Time, eligible []*record, score *scorer) *record {
	penalty := r.failurePenalty(now, eligible)
	if r.cfg.Choices > 0 && r.cfg.Choices < len(eligible) {
		// The first steps of a Fisher-Yates shuffle: a sample without repeats.
		for i := range r.cfg.Choices {
			j := i + r.random.IntN(len(eligible)-i)
			eligible[i], eligible[j] = eligible[j], eligible[i]
		}
		eligible = eligible[:r.cfg.Choices]
	}
	start := r.random.IntN(len(eligible))
	best := eligible[start]
	bestScore := score.of(best) + penalty(best)
	for i := 1; i < len(eligible); i++ {
		rec := eligible[(start+i)%len(eligible)]
		if value := score.of(rec) + penalty(rec); value < bestScore {
			best, bestScore = rec, value
		}
	}
	return best
}

// pickByPrefix returns the first upstream below the load bound in the rendezvous
// order of the prefix. If none is below, waiting for a slot would cost more than
// the cached prefix saves, and the least loaded upstream is used.
func (r *Router) pickByPrefix(now time.Time, req Request, eligible []*record, score *scorer) *record {
	total := 0.0
	for _, rec := range eligible {
		total += score.of(rec)
	}
	mean := total / float64(len(eligible))
	penalty := r.failurePenalty(now, eligible)
	var best *record
	var bestRank uint64
	for _, rec := range eligible {
		bound := min(prefixLoadFactor*mean+prefixAllowance, max(0, 1-prefixSpareSlots/float64(rec.slots())))
		rank := prefixRank(req.PrefixHash, rec)
		if score.of(rec)+penalty(rec) <= bound && (best == nil || rank > bestRank) {
			best, bestRank = rec, rank
		}
	}
	if best == nil {
		return r.pickLeastLoaded(now, eligible, score)
	}
	return best
}

// firstByRank returns the first upstream in the rendezvous order of a prefix.
func firstByRank(prefix uint64, eligible []*record) *record {
	return slices.MaxFunc(eligible, func(a, b *record) int { return cmp.Compare(prefixRank(prefix, a), prefixRank(prefix, b)) })
}

func prefixRank(prefix uint64, rec *record) uint64 { return mix(prefix ^ xxhash.Sum64String(rec.ID)) }

// mix is a hash finalizer: it spreads a combined hash over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// scorer computes the scores of upstreams for one request.
type scorer struct {
	router *Router
	now    time.Time
	work   float64
	// slowness are the factors of the upstreams that are slower or faster than usual.
	slowness map[string]float64
}

func (r *Router) scorer(now time.Time, req Request) *scorer {
	s := &scorer{router: r, now: now, work: req.Work}
	if s.work <= 0 {
		s.work = 1
	}
	if r.cfg.Predictor != nil {
		s.slowness = r.cfg.Predictor.Factors(now, req.Deployment)
	}
	return s
}

// of returns the estimated share of an upstream's slots in use plus the penalties for its
// failure domain and price. The load of a slow upstream counts for as much as it delays the
// request, compared with the same load on a usual one, and so does the request itself.
func (s *scorer) of(rec *record) float64 {
	r := s.router
	load := r.estimatedLoad(s.now, rec)
	if s.slowness != nil {
		if factor, ok := s.slowness[rec.ID]; ok {
			load = factor*(load+s.work) - s.work
		}
	}
	score := load / float64(rec.slots())
	if r.cfg.FailureDomain != "" && rec.FailureDomain != r.cfg.FailureDomain {
		score += *r.cfg.CrossDomainPenalty
	}
	return score + r.domainPenalties[rec.FailureDomain] + pricePenalty*rec.PricePerHour
}

// Predict returns what is expected of an upstream for a request, and false without a
// Predictor or for an unknown id.
func (r *Router) Predict(now time.Time, id string, req predictor.Request) (predictor.Prediction, bool) {
	rec, ok := r.records[id]
	if !ok || r.cfg.Predictor == nil {
		return predictor.Prediction{}, false
	}
	return r.cfg.Predictor.Predict(now, id, r.loadOf(now, rec), req), true
}

// PredictorLoad returns the load of an upstream in the form that a Predictor needs.
func (r *Router) PredictorLoad(now time.Time, id string) predictor.Load {
	rec, ok := r.records[id]
	if !ok {
		return predictor.Load{}
	}
	return r.loadOf(now, rec)
}

func (r *Router) loadOf(now time.Time, rec *record) predictor.Load {
	return predictor.Load{Requests: r.estimatedLoad(now, rec), Slots: rec.slots()}
}

// EstimatedLoad returns the estimated load of an upstream from all entries, in
// requests, or 0 for an unknown id.
func (r *Router) EstimatedLoad(now time.Time, id string) float64 {
	rec, ok := r.records[id]
	if !ok {
		return 0
	}
	return r.estimatedLoad(now, rec)
}

// RemoteLoadAge returns the age of what is known of the load that other entries put on an
// upstream, and false if that is not known.
func (r *Router) RemoteLoadAge(now time.Time, id string) (time.Duration, bool) {
	rec, ok := r.records[id]
	if !ok || rec.remoteLoadAt.IsZero() {
		return 0, false
	}
	return now.Sub(rec.remoteLoadAt), true
}

// estimatedLoad adds the load of other entries to that of this one while the load
// of the others is fresh. Otherwise it uses the upstream's report, corrected by the
// change of the in-flight count since that report. That change is multiplied by the
// number of entries: the others received the same report and are assumed to have
// reacted alike.
func (r *Router) estimatedLoad(now time.Time, rec *record) float64 {
	load := rec.ownLoad()
	if now.Sub(rec.remoteLoadAt) < remoteLoadLifetime {
		return load + rec.remoteLoad
	}
	if now.Sub(rec.reportedAt) < reportLifetime {
		entries := float64(r.sharingEntries())
		corrected := float64(rec.running) + float64(rec.inFlight-rec.inFlightAtReport)*entries
		load = max(load, ownCountWeight*float64(rec.inFlight)*entries+(1-ownCountWeight)*corrected)
	}
	return load
}

func (r *Router) sharingEntries() int { return max(1, r.entryCount) }
