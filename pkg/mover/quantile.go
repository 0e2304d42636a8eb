package mover

import "math"

// trackedQuantile is the quantile that Quantile estimates.
const trackedQuantile = 0.90

// Quantile estimates the 90th percentile of positive values by stochastic
// approximation. The zero value is ready to use.
type Quantile struct {
	estimate float64
	count    int
}

// Observe adds a value.
func (q *Quantile) Observe(value float64) {
	q.count++
	if q.count == 1 {
		q.estimate = value
		return
	}
	step := q.estimate * math.Max(0.01, 0.5/float64(q.count))
	if value > q.estimate {
		q.estimate += step * trackedQuantile
	} else {
		q.estimate -= step * (1 - trackedQuantile)
	}
}

// Value returns the estimate, zero without values.
func (q *Quantile) Value() float64 { return q.estimate }
