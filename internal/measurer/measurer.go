package measurer

import (
	"fmt"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// sampleSize and sampleAlpha are the parameters of the histograms' exponentially
// decaying samples. They are the library's usual ones, which give most weight to
// the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Metrics are the metrics of a process. They are safe for concurrent use.
type Metrics struct {
	registry metrics.Registry
}

// New returns an empty set of metrics.
func New() *Metrics { return &Metrics{registry: metrics.NewRegistry()} }

// Count increments a counter.
func (m *Metrics) Count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// Gauge sets a gauge.
func (m *Metrics) Gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// Observe adds a value to a histogram.
func (m *Metrics) Observe(name string, value int64) {
	metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha)).Update(value)
}

// Text renders all metrics, one name and value a line.
func (m *Metrics) Text() string {
	var lines []string
	m.registry.Each(func(name string, metric any) {
		switch metric := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, metric.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, metric.Value()))
		case metrics.Histogram:
			h := metric.Snapshot()
			lines = append(lines,
				fmt.Sprintf("%s_count %d", name, h.Count()),
				fmt.Sprintf("%s_p50 %.0f", name, h.Percentile(0.5)),
				fmt.Sprintf("%s_p95 %.0f", name, h.Percentile(0.95)))
		}
	})
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}
