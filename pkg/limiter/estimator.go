package limiter

import (
	"slices"
	"time"
)

const (
	// minFullTime is how long an upstream is known to be full after a refusal, whatever its
	// load is. In a model of load patterns 50 ms saved more rejections, but refused more
	// requests that an upstream had a slot for.
	minFullTime = 25 * time.Millisecond
	// maxFullTime is how long it is known to be full at most, while a newer figure of its
	// load shows that it has not fallen: two exchanges of load, 200 ms apart.
	maxFullTime = 400 * time.Millisecond
	// maxLoadAge is the age up to which the load of an upstream is used.
	maxLoadAge = time.Second
	// loadMargin is the fall of the load, in requests, that shows that there is room again.
	loadMargin = 0.5
	// maxRefusals bounds the refusals that are kept for one upstream.
	maxRefusals = 4
	// maxRefusingUpstreams bounds the upstreams whose refusals are kept.
	maxRefusingUpstreams = 1024
)

// Need is what a request needs of an upstream. Upstreams queue by priority, 0 first, so that
// one that refuses a request may take a more urgent or a smaller one.
type Need struct {
	Priority int
	// Tokens is the number of prompt and response tokens, 0 for other requests.
	Tokens int
}

// Covers reports whether the refusal of n implies that of other.
func (n Need) Covers(other Need) bool {
	return n.Priority <= other.Priority && n.Tokens <= other.Tokens
}

// Load is the load of an upstream, in requests, and the age of that figure.
type Load struct {
	Requests float64
	Age      time.Duration
}

// fresh reports whether the figure may be used.
func (l Load) fresh() bool { return l.Age >= 0 && l.Age <= maxLoadAge }

type upstreamRefusal struct {
	need Need
	at   time.Time
	load Load
}

// Estimator estimates which upstreams of a deployment have no room, from their refusals and
// from their load since. An upstream without a recent refusal is taken to have room. The zero
// value is ready for use.
type Estimator struct {
	refusals map[string][]upstreamRefusal
	latest   time.Time
}

// RecordRefusal records that an upstream refused a request for want of room, and the load of
// the upstream without that request.
func (e *Estimator) RecordRefusal(now time.Time, id string, need Need, load Load) {
	if e.refusals == nil {
		e.refusals = map[string][]upstreamRefusal{}
	}
	e.sweep(now)
	if len(e.refusals) >= maxRefusingUpstreams && e.refusals[id] == nil {
		return
	}
	kept := slices.DeleteFunc(e.refusals[id], func(r upstreamRefusal) bool { return need.Covers(r.need) })
	if len(kept) >= maxRefusals {
		kept = slices.Delete(kept, 0, 1)
	}
	e.refusals[id] = append(kept, upstreamRefusal{need: need, at: now, load: load})
	e.latest = now
}

// RecordAcceptance records that an upstream accepted a request that was sent at a time.
// Earlier refusals of requests that need as much are forgotten.
func (e *Estimator) RecordAcceptance(id string, sentAt time.Time, need Need) {
	refusals, ok := e.refusals[id]
	if !ok {
		return
	}
	// A small request that fits does not show that a larger one does.
	rest := slices.DeleteFunc(refusals, func(r upstreamRefusal) bool {
		return r.at.Before(sentAt) && r.need.Tokens <= need.Tokens && r.need.Priority <= need.Priority
	})
	if len(rest) == 0 {
		delete(e.refusals, id)
		return
	}
	e.refusals[id] = rest
}

// Active reports whether an upstream may be known to be full.
func (e *Estimator) Active(now time.Time) bool {
	return len(e.refusals) > 0 && now.Sub(e.latest) < maxFullTime
}

// Age returns the age of the latest refusal, and false if there has been none lately.
func (e *Estimator) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(e.latest), e.Active(now)
}

// Full reports whether an upstream, whose load is given, is known to have no room for a
// request.
func (e *Estimator) Full(now time.Time, id string, need Need, load Load) bool {
	for _, r := range e.refusals[id] {
		if r.need.Covers(need) && r.holds(now, load) {
			return true
		}
	}
	return false
}

// holds reports whether the refusal still says that there is no room.
func (r upstreamRefusal) holds(now time.Time, load Load) bool {
	age := now.Sub(r.at)
	switch {
	case age < 0 || age >= maxFullTime:
		return false
	case age < minFullTime:
		return true
	default:
		return load.fresh() && load.Age < age && r.load.fresh() && load.Requests > r.load.Requests-loadMargin
	}
}

// sweep drops what says nothing any more.
func (e *Estimator) sweep(now time.Time) {
	for id, refusals := range e.refusals {
		refusals = slices.DeleteFunc(refusals, func(r upstreamRefusal) bool { return now.Sub(r.at) >= maxFullTime })
		if len(refusals) == 0 {
			delete(e.refusals, id)
			continue
		}
		e.refusals[id] = refusals
	}
}
