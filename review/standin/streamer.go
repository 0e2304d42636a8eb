package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// streamer is a model worker: it streams events, lets a few requests wait and rejects those for
// which it has no room.
type streamer struct {
	f        *fleet
	id       string
	zone     string
	address  string
	places   int
	events   int
	interval time.Duration

	mu sync.Mutex
	// present is the number of requests that run here, others that of places which the work of
	// other machines takes.
	present, others int
	// silentUntil is the end of the time in which it sends nothing.
	silentUntil time.Time
}

// startStreamer starts a model worker of a service and lists it in the store.
func (f *fleet) startStreamer(s *streamer, service string) error {
	s.f = f
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	f.listWorker(s.id, service, s.address, s.zone, s.places)
	return nil
}

// fill lets other machines take all places that are free.
func (s *streamer) fill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.others = s.places - s.present
	s.f.rec.add("worker: %s runs %d requests of this machine, other machines take its last %d places", s.id, s.present, s.others)
}

// fallSilent lets it send nothing for some time.
func (s *streamer) fallSilent(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil = time.Now().Add(d)
	s.f.rec.add("worker: %s falls silent for %v with %d requests", s.id, d, s.present)
}

func (s *streamer) awaitVoice() {
	s.mu.Lock()
	wait := time.Until(s.silentUntil)
	s.mu.Unlock()
	time.Sleep(wait)
}

func (s *streamer) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.present+s.others >= s.places {
		return false
	}
	s.present++
	return true
}

func (s *streamer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.present--
}

// ServeHTTP runs a request. Its target ends with the number of events.
func (s *streamer) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestID)
	out.Header().Set(names.RequestID, id)
	if r.Header.Get(names.Instance) != s.id {
		out.Header().Set(names.NotRun, "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.enter() {
		s.f.rec.add("worker: %s is full and turns %s away", s.id, id)
		out.Header().Set(names.NotRun, "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	last, _ := strconv.Atoi(r.Header.Get(names.LastEvent))
	events := s.events
	if n, err := strconv.Atoi(r.URL.Query().Get("events")); err == nil {
		events = n
	}
	s.f.rec.add("worker: %s runs %s from event %d", s.id, id, last+1)
	out.Header().Set(names.Seal, "seal-"+s.id)
	out.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= events; n++ {
		s.awaitVoice()
		_, err := fmt.Fprintf(out, "id: %d\ndata: token %d of %s\n\n", n, n, id)
		if err == nil {
			err = http.NewResponseController(out).Flush()
		}
		if err != nil || r.Context().Err() != nil {
			s.f.rec.add("worker: the machine closed the connection of %s before event %d; %s drops it", id, n, s.id)
			return
		}
		time.Sleep(s.interval)
	}
	s.f.rec.add("worker: %s has sent all events of %s", s.id, id)
}
