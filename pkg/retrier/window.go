package retrier

import "time"

const (
	// spanIntervals is the number of intervals in a window's span.
	spanIntervals = 10
	// intervals is the number of intervals kept: those of a span and of the one before.
	intervals = 2 * spanIntervals
)

// Window bounds the retries in a sliding window by requests, for limits that hold for
// all entries together in any span of that length. The requests that a span allows for
// are those in it, in the span before it, or in the span that begins half a span
// earlier, whichever are most. Each entry gets its part of the limit's allowance beyond
// the ratio. The zero value allows no retries.
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

// TakeRetry reports whether the window allows one more retry, and counts it. It does so
// if no span that contains the present would have too many, if nothing more is counted.
func (w *Window) TakeRetry(now time.Time) bool {
	if w.Span <= 0 {
		return false
	}
	current := w.advance(now)
	for end := w.interval; end <= w.interval+spanIntervals; end++ {
		// A span that ends within an interval contains parts of spanIntervals+1. All
		// retries in these may be in it; requests of the first one may be before it.
		retries := w.sum(&w.retries, end-spanIntervals, end)
		requests := w.sum(&w.requests, end-spanIntervals+1, end)
		for _, shift := range []int64{spanIntervals / 2, spanIntervals} {
			requests = max(requests, w.sum(&w.requests, end-shift-spanIntervals+1, end-shift-1))
		}
		if float64(retries+1) > w.Ratio*float64(requests)+w.Allowance {
			return false
		}
	}
	w.retries[current]++
	return true
}

// sum returns the sum of the counts of the intervals from first to last that have begun.
func (w *Window) sum(counts *[intervals]int, first, last int64) int {
	total := 0
	for i := max(0, first); i <= min(last, w.interval); i++ {
		total += counts[i%intervals]
	}
	return total
}

// advance clears the intervals that are no longer kept and returns the index of the
// current one.
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
