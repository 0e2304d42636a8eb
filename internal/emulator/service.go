package emulator

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ServiceConfig configures a Service. Delay is the duration of a call.
type ServiceConfig struct {
	Version string
	Slots   int
	Delay   time.Duration
	// Crash ends the process. It is called for a request that contains
	// crashMarker; nil ignores the marker.
	Crash func()
}

// Service stands in for a plain service. It runs every call that it receives,
// including repeats: suppressing duplicates is up to the system under test.
type Service struct {
	cfg ServiceConfig
	upstream
}

// NewService returns a service.
func NewService(cfg ServiceConfig) *Service {
	return &Service{cfg: cfg, upstream: newUpstream(cfg.Version, cfg.Slots)}
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/run/", s.run)
	s.mount(mux, s.SetFaults)
	return s.signaling(mux)
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	route, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/run/"), "/")
	f := s.begin(route)
	defer s.end()
	if f.Refuse {
		writeNotRun(w, r, f)
		return
	}
	if s.cfg.Crash != nil && strings.Contains(string(body), crashMarker) {
		s.cfg.Crash()
		return
	}
	if f.Fail {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	attempt, _ := strconv.Atoi(r.Header.Get("X-Attempt"))
	id := r.Header.Get("X-Request-Id")
	runIndex := s.journal.add(Run{RequestID: id, Attempt: attempt, Key: r.Header.Get("X-Key"), Route: route})
	if !sleep(r.Context(), s.cfg.Delay+time.Duration(f.DelayMS)*time.Millisecond) {
		s.journal.setProgress(runIndex, 0, true)
		return
	}
	s.journal.setProgress(runIndex, 0, true)
	switch {
	case f.HoldResponse:
		<-r.Context().Done()
		return
	case f.DropResponse:
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Request-Id", id)
	if f.WrongRequestID {
		w.Header().Set("X-Request-Id", "another-request")
	}
	w.Header().Set("X-Attempt", strconv.Itoa(attempt))
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"route":%q,"path":%q,"echo":%q}`, route, r.URL.Path, body)
}
