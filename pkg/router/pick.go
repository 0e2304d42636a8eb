package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixLoadFactor is how far above the mean score the upstream of a prefix
	// may be loaded before its requests go elsewhere.
	prefixLoadFactor = 1.25
	// prefixAllowance is added to the bound, in shares of an upstream's slots, so
	// that affinity holds at low load.
	prefixAllowance = 0.1
	// prefixSpareSlots is the number of slots that must look free on an upstream
	// for a prefix to keep going there.
	prefixSpareSlots = 2
	// ownCountWeight is the weight of the own counts, taken to be every entry's,
	// against the load that the upstream reported.
	ownCountWeight = 0.3
	// defaultCrossDomainPenalty is, unless set otherwise, added to the score of an upstream in another failure
	// domain, in shares of its slots.
	defaultCrossDomainPenalty = 0.30
	// pricePenalty weighs an upstream's price against the dearest one, in
	// shares of its slots.
	pricePenalty = 0.05
)

// Pick chooses an upstream. It returns false if none may take the attempt.
func (r *Router) Pick(now time.Time, ask Request) (Upstream, bool) {
	r.init()
	open := r.eligible(now, ask)
	if len(open) == 0 {
		return Upstream{}, false
	}
	if ask.PrefixHash != 0 {
		return r.pickByPrefix(now, ask, open).Upstream, true
	}
	return r.pickLeastLoaded(now, open).Upstream, true
}

func (r *Router) eligible(now time.Time, ask Request) []*record {
	group := r.byDeployment[ask.Deployment]
	open := make([]*record, 0, len(group))
	var resting []*record
	for _, rec := range group {
		if ask.Version != "" && rec.Version != ask.Version || ask.AvoidVersion != "" && rec.Version == ask.AvoidVersion || slices.Contains(ask.Exclude, rec.ID) {
			continue
		}
		if r.available(now, rec) {
			open = append(open, rec)
		} else if rec.state == "suspect" {
			resting = append(resting, rec)
		}
	}
	if len(open) == 0 {
		// When all are suspects, the suspicion says nothing about one of them.
		return resting
	}
	return open
}

func (r *Router) available(now time.Time, rec *record) bool {
	if rec.state == "suspect" && !now.Before(rec.suspectUntil) {
		r.applyEvent(rec.ID, "recover")
	}
	return rec.state == "live"
}

const (
	// failureRateMargin is how much more of its attempts an upstream may fail than the
	// others do on average before it gets fewer.
	failureRateMargin = 0.15
	// failureRatePenalty turns the share of failures beyond that into shares of slots.
	failureRatePenalty = 3.0
)

// failurePenalty returns the penalty of each upstream for failing more than others.
func (r *Router) failurePenalty(now time.Time, open []*record) func(*record) float64 {
	total := 0.0
	for _, rec := range open {
		total += rec.decayedFailureRate(now)
	}
	if total == 0 || len(open) == 1 {
		return func(*record) float64 { return 0 }
	}
	return func(rec *record) float64 {
		own := rec.decayedFailureRate(now)
		others := (total - own) / float64(len(open)-1)
		return failureRatePenalty * max(0, own-others-failureRateMargin)
	}
}

// pickLeastLoaded returns the upstream with the lowest score; a random start breaks ties.
func (r *Router) pickLeastLoaded(now time.Time, open []*record) *record {
	suspicion := r.failurePenalty(now, open)
	if r.cfg.Choices > 0 && r.cfg.Choices < len(open) {
		// The first ones of a shuffled copy are a draw without repeats.
		for i := range r.cfg.Choices {
			j := i + r.random.IntN(len(open)-i)
			open[i], open[j] = open[j], open[i]
		}
		open = open[:r.cfg.Choices]
	}
	start := r.random.IntN(len(open))
	best := open[start]
	bestScore := r.score(now, best) + suspicion(best)
	for i := 1; i < len(open); i++ {
		rec := open[(start+i)%len(open)]
		if score := r.score(now, rec) + suspicion(rec); score < bestScore {
			best, bestScore = rec, score
		}
	}
	return best
}

// pickByPrefix walks the prefix's rendezvous order to the first upstream below
// the load bound. Where none is, the cache is not worth the wait.
func (r *Router) pickByPrefix(now time.Time, ask Request, open []*record) *record {
	total := 0.0
	for _, rec := range open {
		total += r.score(now, rec)
	}
	mean := total / float64(len(open))
	suspicion := r.failurePenalty(now, open)
	var best *record
	var bestRank uint64
	for _, rec := range open {
		bound := min(prefixLoadFactor*mean+prefixAllowance, max(0, 1-prefixSpareSlots/float64(rec.slots())))
		rank := mix(ask.PrefixHash ^ xxhash.Sum64String(rec.ID))
		if r.score(now, rec)+suspicion(rec) <= bound && (best == nil || rank > bestRank) {
			best, bestRank = rec, rank
		}
	}
	if best == nil {
		return r.pickLeastLoaded(now, open)
	}
	return best
}

// mix spreads a combined hash over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// score is the share of an upstream's slots in use, with penalties for other
// failure domains and for price. What has changed here since the last report
// is taken to have changed at the other entries too: they saw the same report.
func (r *Router) score(now time.Time, rec *record) float64 {
	score := r.estimatedLoad(now, rec) / float64(rec.slots())
	if r.cfg.FailureDomain != "" && rec.FailureDomain != r.cfg.FailureDomain {
		score += *r.cfg.CrossDomainPenalty
	}
	return score + r.domainPenalties[rec.FailureDomain] + pricePenalty*rec.PricePerHour
}

// EstimatedLoad returns the load that an upstream is thought to have, in requests.
func (r *Router) EstimatedLoad(now time.Time, id string) float64 {
	rec, ok := r.records[id]
	if !ok {
		return 0
	}
	return r.estimatedLoad(now, rec)
}

func (r *Router) estimatedLoad(now time.Time, rec *record) float64 {
	busy := rec.ownLoad()
	if now.Sub(rec.remoteLoadAt) < remoteLoadLifetime {
		return busy + rec.remoteLoad
	}
	if now.Sub(rec.reportedAt) < reportLifetime {
		sharing := float64(r.sharingEntries())
		told := float64(rec.running) + float64(rec.inFlight-rec.inFlightAtReport)*sharing
		busy = max(busy, ownCountWeight*float64(rec.inFlight)*sharing+(1-ownCountWeight)*told)
	}
	return busy
}

func (r *Router) sharingEntries() int { return max(1, r.entryCount) }
