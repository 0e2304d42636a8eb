package retrier

import "time"

const (
	// spanIntervals is the number of intervals in a window's span.
	spanIntervals = 10
	// intervals is the number of intervals kept: one more than the span has, since
	// the current interval is incomplete.
	intervals = spanIntervals + 1
)

// Window bounds the retries in a sliding window by the requests in it, for limits
// that hold for all entries together in any span of that length. Each entry gets
// its part of the limit's allowance beyond the ratio. The zero value allows no
// retries.
type Window struct {
	// Span is the length of the window.
	Span time.Duration
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Allowance is the number of retries allowed in addition.
	Allowance float64

	// startedAt is the time of the first call, from which the intervals are counted:
	// the difference of two times does not follow steps of the time of day.
	startedAt time.Time
	interval  int64
	requests  [intervals]int
	retries   [intervals]int
}

// CountRequest counts a request.
func (w *Window) CountRequest(now time.Time) { w.requests[w.advance(now)]++ }

// TakeRetry reports whether the window allows one more retry, and counts it.
func (w *Window) TakeRetry(now time.Time) bool {
	if w.Span <= 0 {
		return false
	}
	current := w.advance(now)
	requests, retries := 0, 0
	for i := range intervals {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	requests -= w.requests[(current+1)%intervals]
	if float64(retries+1) > w.Ratio*float64(requests)+w.Allowance {
		return false
	}
	w.retries[current]++
	return true
}

// advance clears the intervals that have left the window and returns the index of
// the current one.
func (w *Window) advance(now time.Time) int {
	if w.Span <= 0 {
		return 0
	}
	if w.startedAt.IsZero() {
		w.startedAt = now
	}
	interval := int64(now.Sub(w.startedAt) / (w.Span / spanIntervals))
	for passed := min(interval-w.interval, intervals); passed > 0; passed-- {
		i := (interval - passed + 1) % intervals
		w.requests[i], w.retries[i] = 0, 0
	}
	w.interval = max(w.interval, interval)
	return int(w.interval % intervals)
}
