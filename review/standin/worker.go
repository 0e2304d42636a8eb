package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a sound worker: it runs slots requests at once, lets a few more wait and rejects
// those for which it has no room.
type worker struct {
	f       *fleet
	id      string
	service string
	zone    string
	address string
	slots   int
	work    time.Duration

	mu sync.Mutex
	// queue is the number of requests that may wait, present that of those that run or wait.
	queue, present int
	turn           chan struct{}
	runs           map[string]int
}

// startWorker starts a worker and lists it in the store.
func (f *fleet) startWorker(w *worker) error {
	w.f, w.runs = f, map[string]int{}
	w.turn = make(chan struct{}, w.slots)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, w) }()
	f.listWorker(w.id, w.service, w.address, w.zone, w.slots)
	return nil
}

// admit reports whether there is room for a request.
func (w *worker) admit() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.present >= w.slots+w.queue {
		return false
	}
	w.present++
	return true
}

func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.present--
}

// ran records that the worker begins to run a request.
func (w *worker) ran(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
}

// hasRun reports whether the worker has begun to run a request.
func (w *worker) hasRun(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id] > 0
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestID)
	out.Header().Set(names.RequestID, id)
	if r.Header.Get(names.Instance) != w.id {
		out.Header().Set(names.NotRun, "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !w.admit() {
		out.Header().Set(names.NotRun, "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.leave()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	turn := w.turn
	w.mu.Unlock()
	select {
	case turn <- struct{}{}:
		defer func() { <-turn }()
	case <-r.Context().Done():
		return
	}
	w.ran(id)
	out.Header().Set(names.Seal, "seal-"+w.id)
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	_, _ = fmt.Fprintf(out, "%s took %d bytes of %s", w.id, len(body), id)
}
