package server

import (
	"net/http"
	"runtime"
	"runtime/debug"
	runtimemetrics "runtime/metrics"
)

// The runtime's names of what the process holds and of what it has given back.
const (
	memoryTotal    = "/memory/classes/total:bytes"
	memoryReleased = "/memory/classes/heap/released:bytes"
	memoryStacks   = "/memory/classes/heap/stacks:bytes"
	memoryObjects  = "/memory/classes/heap/objects:bytes"
)

// gcRuns is the number of gcRuns that a caller of ?collect=1 gets.
const gcRuns = 4

// updateGauges fits the updateGauges to the present state.
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

// serveMetrics prints the metrics. With ?collect=1 memory is collected first,
// so that what is left is in use.
func (s *Server) serveMetrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("collect") != "" {
		// Each collection halves at most the stacks that have grown.
		for range gcRuns {
			runtime.GC()
		}
		debug.FreeOSMemory()
	}
	s.updateGauges()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte(s.metrics.Text()))
}
