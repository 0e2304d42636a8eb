package mover

import (
	"slices"
	"time"
)

const (
	// maxPauses is the number of pauses of a stream after which it is judged.
	maxPauses = 8
	// minPauses is the same for a stream that ends earlier.
	minPauses = 4
	// pauseThresholdFactor times the current version's 90th percentile of typical
	// pauses is the threshold of long pauses. The typical pause varies little among
	// requests, so the factor is smaller than that of first tokens.
	pauseThresholdFactor = 1.05
	// loadedPauseThresholdFactor is the same on an upstream with more load than usual,
	// which makes pauses longer.
	loadedPauseThresholdFactor = 1.4
)

// Pauses collects the first pauses between the events of one stream. The zero value
// is ready to use.
type Pauses struct {
	last   time.Time
	pauses []time.Duration
}

// Observe adds an event that arrived at now. It returns true for the event that
// completes the collection.
func (p *Pauses) Observe(now time.Time) bool {
	if len(p.pauses) == maxPauses {
		return false
	}
	if !p.last.IsZero() {
		p.pauses = append(p.pauses, now.Sub(p.last))
	}
	p.last = now
	return len(p.pauses) == maxPauses
}

// Complete reports whether the collection is complete.
func (p *Pauses) Complete() bool { return len(p.pauses) == maxPauses }

// Typical returns the lower quartile of the pauses, and false if there are too few. A
// quartile below the median shows the pace of the engine while other requests' prompts
// interrupt it now and then.
func (p *Pauses) Typical() (time.Duration, bool) {
	if len(p.pauses) < minPauses {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(p.pauses))
	return sorted[len(sorted)/4], true
}

// PauseThreshold tracks the typical pause above which a stream has long pauses. The
// zero value is ready to use.
type PauseThreshold struct{ quantile Quantile }

// Observe adds the typical pause of a stream of the current version.
func (t *PauseThreshold) Observe(pause time.Duration) { t.quantile.Observe(float64(pause)) }

// IsLong reports whether a typical pause is long, on an upstream that had more load than
// usual if loaded is true. No pause is before the first is observed.
func (t *PauseThreshold) IsLong(pause time.Duration, loaded bool) bool {
	factor := pauseThresholdFactor
	if loaded {
		factor = loadedPauseThresholdFactor
	}
	return t.quantile.Value() > 0 && float64(pause) > t.quantile.Value()*factor
}
