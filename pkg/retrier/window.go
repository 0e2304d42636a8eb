package retrier

import "time"

const (
	// spanIntervals is the number of steps in which a window slides.
	spanIntervals = 10
	// intervals are the parts of a window and one more, since the present part has
	// only begun.
	intervals = spanIntervals + 1
)

// Window bounds retries by the requests of the last Span, for limits that count
// over all entries in any span of that length. Each entry takes its part of
// what the limit allows beyond the ratio. The zero value allows nothing.
type Window struct {
	// Span is the length of the window.
	Span time.Duration
	// Ratio is the number of retries for each request.
	Ratio float64
	// Allowance is the number of retries allowed beyond that.
	Allowance float64

	interval int64
	requests [intervals]int
	retries  [intervals]int
}

// CountRequest counts a request.
func (w *Window) CountRequest(now time.Time) { w.requests[w.advance(now)]++ }

// TakeRetry reports whether the budget allows one more retry, and counts it.
func (w *Window) TakeRetry(now time.Time) bool {
	if w.Span <= 0 {
		return false
	}
	at := w.advance(now)
	requests, retries := 0, 0
	for i := range intervals {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	requests -= w.requests[(at+1)%intervals]
	if float64(retries+1) > w.Ratio*float64(requests)+w.Allowance {
		return false
	}
	w.retries[at]++
	return true
}

// advance drops what has left the window and returns the present slot.
func (w *Window) advance(now time.Time) int {
	if w.Span <= 0 {
		return 0
	}
	at := now.UnixNano() / (w.Span.Nanoseconds() / spanIntervals)
	for passed := min(at-w.interval, intervals); passed > 0; passed-- {
		i := (at - passed + 1) % intervals
		w.requests[i], w.retries[i] = 0, 0
	}
	w.interval = max(w.interval, at)
	return int(w.interval % intervals)
}
