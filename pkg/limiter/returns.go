package limiter

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the measured rate of completed requests.
	rateWindow = 2 * time.Second
	// minRate is the lowest rate, per second, that is taken for a measurement.
	minRate = 0.25
	// returnClasses is the number of priorities that are told apart; those beyond count as
	// the last.
	returnClasses = 8
)

// Returns spreads the returns of refused callers over the capacity that is left: each is
// asked to come back when the callers before it, of the same or a more urgent priority, are
// expected to have been served. The zero value is ready for use.
type Returns struct {
	completed float64
	expected  [returnClasses]float64
	at        time.Time
}

// RecordCompletion records that a request completed.
func (r *Returns) RecordCompletion(now time.Time) {
	r.advance(now)
	r.completed++
}

// rate returns the completed requests per second.
func (r *Returns) rate() float64 { return r.completed / rateWindow.Seconds() }

// Expect returns the time until a caller of a priority, 0 first, that is refused now can
// expect to be served, and counts it among those that return. It returns false if the rate of
// completed requests is not known.
func (r *Returns) Expect(now time.Time, priority int) (time.Duration, bool) {
	r.advance(now)
	class := min(max(0, priority), returnClasses-1)
	r.expected[class]++
	ahead := 0.0
	for _, n := range r.expected[:class+1] {
		ahead += n
	}
	return r.timeFor(ahead)
}

// timeFor returns the time in which a number of requests complete, and false if the rate is
// not known.
func (r *Returns) timeFor(requests float64) (time.Duration, bool) {
	if r.rate() < minRate {
		return 0, false
	}
	return max(minRetryAfter, time.Duration(requests/r.rate()*float64(time.Second))), true
}

// TimeFor returns the expected time in which a number of requests complete, and false if the
// rate of completed requests is not known.
func (r *Returns) TimeFor(now time.Time, requests int) (time.Duration, bool) {
	r.advance(now)
	return r.timeFor(float64(requests))
}

// advance takes the time since the last call into account: callers that were expected by now
// have returned, the most urgent first.
func (r *Returns) advance(now time.Time) {
	passed := now.Sub(r.at)
	if passed <= 0 {
		return
	}
	r.at = now
	served := r.rate() * min(passed, rateWindow).Seconds()
	if r.rate() < minRate {
		// Nothing completes. Callers give up, so that those expected are forgotten.
		served = min(passed, rateWindow).Seconds()
	}
	for class := range r.expected {
		n := min(served, r.expected[class])
		r.expected[class] -= n
		served -= n
	}
	r.completed *= math.Exp(-passed.Seconds() / rateWindow.Seconds())
}
