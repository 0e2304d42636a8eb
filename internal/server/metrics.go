package server

import (
	"net/http"
	"runtime"
	"runtime/debug"
	runtimemetrics "runtime/metrics"
)

// Names of runtime metrics, in bytes: the memory that the process has mapped, the
// part returned to the operating system, stacks and heap objects.
const (
	memoryTotal    = "/memory/classes/total:bytes"
	memoryReleased = "/memory/classes/heap/released:bytes"
	memoryStacks   = "/memory/classes/heap/stacks:bytes"
	memoryObjects  = "/memory/classes/heap/objects:bytes"
)

// gcRuns is the number of garbage collections of a request with ?collect=1.
const gcRuns = 4

// updateGauges sets the gauges to the current values.
func (s *Server) updateGauges() {
	samples := []runtimemetrics.Sample{{Name: memoryTotal}, {Name: memoryReleased}, {Name: memoryStacks}, {Name: memoryObjects}}
	runtimemetrics.Read(samples)
	s.metrics.Gauge("memory_bytes", int64(samples[0].Value.Uint64()-samples[1].Value.Uint64()))
	s.metrics.Gauge("stack_bytes", int64(samples[2].Value.Uint64()))
	s.metrics.Gauge("object_bytes", int64(samples[3].Value.Uint64()))
	s.metrics.Gauge("goroutines", int64(runtime.NumGoroutine()))
	s.metrics.Gauge("open_runs", int64(len(s.runs.open())))
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.metrics.Gauge("generation", int64(s.state.generationLocked()))
	s.metrics.Gauge("audit_records_lost", int64(s.state.recorder.LostRecords()))
	s.metrics.Gauge("outcomes_waiting", int64(s.outcomes.len()))
	for name, p := range s.state.pools {
		s.metrics.Gauge("running_"+name, int64(p.limiter.InFlight()))
		s.metrics.Gauge("queued_"+name, int64(p.limiter.QueueLength()))
		s.metrics.Gauge("capacity_"+name, int64(p.limiter.Capacity()))
	}
}

// serveMetrics responds with the metrics. With ?collect=1 it collects garbage
// first, so that the memory reported is in use.
func (s *Server) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("collect") != "" {
		// A collection shrinks a stack by half at most.
		for range gcRuns {
			runtime.GC()
		}
		debug.FreeOSMemory()
	}
	s.updateGauges()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte(s.metrics.Text()))
}
