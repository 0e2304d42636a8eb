package retrier

import "time"

const (
	// parts is the number of steps in which a window slides.
	parts = 10
	// slots are the parts of a window and one more, since the present part has
	// only begun.
	slots = parts + 1
)

// Window bounds retries by the requests of the last Span, for limits that count
// over all entries in any span of that length. Each entry takes its part of
// what the limit allows beyond the ratio. The zero value allows nothing.
type Window struct {
	// Span is the length of the window.
	Span time.Duration
	// Ratio is the number of retries for each request.
	Ratio float64
	// Extra is the number of retries allowed beyond that.
	Extra float64

	at       int64
	requests [slots]int
	retries  [slots]int
}

// Request counts a request.
func (w *Window) Request(now time.Time) { w.requests[w.slide(now)]++ }

// Take reports whether the budget allows one more retry, and counts it.
func (w *Window) Take(now time.Time) bool {
	if w.Span <= 0 {
		return false
	}
	at := w.slide(now)
	requests, retries := 0, 0
	for i := range slots {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	requests -= w.requests[(at+1)%slots]
	if float64(retries+1) > w.Ratio*float64(requests)+w.Extra {
		return false
	}
	w.retries[at]++
	return true
}

// slide drops what has left the window and returns the present slot.
func (w *Window) slide(now time.Time) int {
	if w.Span <= 0 {
		return 0
	}
	at := now.UnixNano() / (w.Span.Nanoseconds() / parts)
	for passed := min(at-w.at, slots); passed > 0; passed-- {
		i := (at - passed + 1) % slots
		w.requests[i], w.retries[i] = 0, 0
	}
	w.at = max(w.at, at)
	return int(w.at % slots)
}
