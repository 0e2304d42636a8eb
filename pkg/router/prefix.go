package router

import (
	"math"
	"time"
)

const (
	// prefixCandidates is the number of upstreams, the first in the rendezvous order of a
	// prefix, over which the prefix may spread.
	prefixCandidates = 8
	// firstHeldProbability is the assumed probability that the first upstream in the order
	// holds the shared parts, as other entries send them there; it halves with each further
	// one. What this entry has sent counts if it says more.
	firstHeldProbability = 0.5
)

// candidate is an upstream that may hold a prefix.
type candidate struct {
	rec  *record
	rank uint64
}

// pickByHeldParts returns the first upstream in the rendezvous order of the prefix on which the
// request waits and reads hardly longer than on the least loaded of a random sample. The allowance
// returns it to the first upstreams while several hold the prefix. A popular prefix spreads along the order while the first upstreams are busy, and returns to them when
// they are not.
func (r *Router) pickByHeldParts(now time.Time, req Request, eligible []*record, score *scorer) *record {
	first := firstCandidates(req.PrefixHash, eligible)
	penalty := r.failurePenalty(now, eligible)
	// The random sample changes the order of the eligible upstreams.
	other := r.pickLeastLoaded(now, eligible, score)
	cost := func(rec *record, position int) float64 {
		held := max(r.cfg.Prefixes.HeldTokens(req.Deployment, rec.ID, req.Parts), math.Ldexp(firstHeldProbability, -position)*float64(req.SharedTokens))
		return (score.of(rec)+penalty(rec))*float64(rec.slots())*r.cfg.TokensPerLoad - held*score.factor(rec)
	}
	position := prefixCandidates
	for i, c := range first {
		if c.rec == other {
			position = i
		}
	}
	limit := cost(other, position)
	for i, c := range first {
		hasSlots := score.of(c.rec) <= max(0, 1-prefixSpareSlots/float64(c.rec.slots()))
		allowance := prefixAllowance * float64(c.rec.slots()) * r.cfg.TokensPerLoad
		if c.rec == other || hasSlots && cost(c.rec, i) <= limit+allowance {
			return c.rec
		}
	}
	return other
}

// firstCandidates returns the first upstreams in the rendezvous order of a prefix, in order.
func firstCandidates(prefix uint64, eligible []*record) []candidate {
	first := make([]candidate, 0, prefixCandidates+1)
	for _, rec := range eligible {
		c := candidate{rec, prefixRank(prefix, rec)}
		if len(first) == prefixCandidates && c.rank <= first[prefixCandidates-1].rank {
			continue
		}
		first = append(first, c)
		for i := len(first) - 1; i > 0 && first[i].rank > first[i-1].rank; i-- {
			first[i], first[i-1] = first[i-1], first[i]
		}
		first = first[:min(len(first), prefixCandidates)]
	}
	return first
}

// factor returns the slowness of an upstream.
func (s *scorer) factor(rec *record) float64 {
	if factor, ok := s.slowness[rec.ID]; ok {
		return factor
	}
	return 1
}
