package server

import (
	"fmt"
	"net/http"
	"runtime"
	"runtime/debug"
	runtimemetrics "runtime/metrics"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// The runtime's names of what the process holds and of what it has given back.
const (
	memoryTotal    = "/memory/classes/total:bytes"
	memoryReleased = "/memory/classes/heap/released:bytes"
	memoryStacks   = "/memory/classes/heap/stacks:bytes"
	memoryObjects  = "/memory/classes/heap/objects:bytes"
)

// collections is the number of collections that a caller of ?collect=1 gets.
const collections = 4

// sampleSize and sampleAlpha are those of the first-token histogram.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// measures are the entry's metrics.
type measures struct {
	registry metrics.Registry
	first    metrics.Histogram
}

func newMeasures() *measures {
	m := &measures{
		registry: metrics.NewRegistry(),
		first:    metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
	_ = m.registry.Register("first_token_us", m.first)
	return m
}

func (m *measures) count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

func (m *measures) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

func (m *measures) firstToken(d time.Duration) { m.first.Update(d.Microseconds()) }

// text renders all metrics, one name and value a line.
func (m *measures) text() string {
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

// gauges fits the gauges to the present state.
func (s *Server) gauges() {
	samples := []runtimemetrics.Sample{{Name: memoryTotal}, {Name: memoryReleased}, {Name: memoryStacks}, {Name: memoryObjects}}
	runtimemetrics.Read(samples)
	s.metrics.gauge("memory_bytes", int64(samples[0].Value.Uint64()-samples[1].Value.Uint64()))
	s.metrics.gauge("stack_bytes", int64(samples[2].Value.Uint64()))
	s.metrics.gauge("object_bytes", int64(samples[3].Value.Uint64()))
	s.metrics.gauge("goroutines", int64(runtime.NumGoroutine()))
	s.metrics.gauge("open_runs", int64(len(s.runs.open())))
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.metrics.gauge("generation", int64(s.state.generationLocked()))
	s.metrics.gauge("audit_records_lost", int64(s.state.recorder.Lost()))
	s.metrics.gauge("outcomes_waiting", int64(s.outcomes.len()))
	for name, p := range s.state.pools {
		s.metrics.gauge("running_"+name, int64(p.limiter.Running()))
		s.metrics.gauge("queued_"+name, int64(p.limiter.Queued()))
		s.metrics.gauge("capacity_"+name, int64(p.limiter.Capacity()))
	}
}

// serveMetrics prints the metrics. With ?collect=1 memory is collected first,
// so that what is left is in use.
func (s *Server) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("collect") != "" {
		// Each collection halves at most the stacks that have grown.
		for range collections {
			runtime.GC()
		}
		debug.FreeOSMemory()
	}
	s.gauges()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte(s.metrics.text()))
}
