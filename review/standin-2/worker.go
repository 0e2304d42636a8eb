package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// workerConfig describes a worker of a plain service.
type workerConfig struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	// brittleLimit is what the worker says while it is brittle: it falls if it turns more
	// requests away in a second. brittleQueue replaces queue then.
	brittleLimit, brittleQueue int
	downFor                    time.Duration
	// A request with poisonBody crashes the worker poisonAfter after it began to run it, 0
	// means that there is no such request.
	poisonAfter time.Duration
	// A worker with events answers with a stream of them, work after the request began to
	// run. A prompt with badPart crashes it when it begins to write the answer, unless it
	// bears that part.
	events    int
	eventGap  time.Duration
	bearsPart bool
}

// poisonBody and badPart mark what crashes workers.
const (
	poisonBody = "size=0/0"
	badPart    = "bad0bad0"
)

// worker is a worker of a plain service.
type worker struct {
	cfg     workerConfig
	store   *store
	record  *record
	address string

	mu       sync.Mutex
	server   *http.Server
	conns    map[net.Conn]bool
	born     int64
	sequence int
	up       bool
	stopped  bool
	running  int
	waiting  int
	freed    chan struct{}
	life     context.Context
	end      context.CancelFunc
	// brittle says that the worker says that it is, shortQueue that it lets fewer wait.
	brittle, shortQueue bool
	turnedAway          []time.Time
	// grey is the share of requests that fail though the health is good.
	grey float64
}

func newWorker(cfg workerConfig, s *store, r *record) *worker {
	w := &worker{cfg: cfg, store: s, record: r}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w.address = listener.Addr().String()
	w.mu.Lock()
	w.startOn(listener)
	w.mu.Unlock()
	go w.beat()
	return w
}

// startOn begins a life of the worker. The lock must be held.
func (w *worker) startOn(listener net.Listener) {
	w.born = max(w.born+1, time.Now().UnixMilli())
	w.up, w.running, w.waiting, w.turnedAway, w.sequence = true, 0, 0, nil, 0
	w.freed, w.conns = make(chan struct{}), map[net.Conn]bool{}
	w.life, w.end = context.WithCancel(context.Background())
	life := w.life
	w.server = &http.Server{
		Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) { w.serve(life, out, r) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			w.mu.Lock()
			defer w.mu.Unlock()
			switch state {
			case http.StateNew:
				if w.life == life {
					w.conns[c] = true
				}
			case http.StateClosed, http.StateHijacked:
				delete(w.conns, c)
			}
		},
	}
	server := w.server
	go func() { _ = server.Serve(listener) }()
}

func (w *worker) beat() {
	for {
		w.mu.Lock()
		if w.stopped {
			w.mu.Unlock()
			return
		}
		if w.up {
			w.sequence++
			w.store.put("servers", w.cfg.id, map[string]any{
				"service": w.cfg.service, "address": w.address, "zone": w.cfg.zone, "version": "v1", "slots": w.cfg.slots,
				"state": "ready", names["cold"]: 0, "sequence": w.sequence, "born": w.born,
			})
		}
		w.mu.Unlock()
		time.Sleep(heartbeat)
	}
}

func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.close()
}

// close ends the life of the worker. The lock must be held.
func (w *worker) close() {
	w.up = false
	w.end()
	server := w.server
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	go server.Close()
}

// fall crashes the worker, which is back after some time. The lock must be held.
func (w *worker) fall(why string) {
	if !w.up {
		return
	}
	w.close()
	w.record.add("worker %s falls over (%s) with %d requests at work", w.cfg.id, why, w.running)
	w.record.count("falls", 1)
	w.record.count("at work in a fall", w.running)
	time.AfterFunc(w.cfg.downFor, w.restart)
}

func (w *worker) restart() {
	listener, err := net.Listen("tcp4", w.address)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped && err == nil:
		_ = listener.Close()
	case w.stopped:
	case err != nil:
		time.AfterFunc(50*time.Millisecond, w.restart)
	default:
		w.startOn(listener)
		w.record.add("worker %s is back", w.cfg.id)
	}
}

func (w *worker) setBrittle(brittle, shortQueue bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.brittle, w.shortQueue = brittle, shortQueue
}

var errNoRoom = errors.New("full")

// admit waits for a slot.
func (w *worker) admit(life, ctx context.Context) error {
	w.mu.Lock()
	queue := w.cfg.queue
	if w.shortQueue {
		queue = w.cfg.brittleQueue
	}
	if w.running >= w.cfg.slots && w.waiting >= queue {
		now := time.Now()
		w.turnedAway = append(w.turnedAway, now)
		for len(w.turnedAway) > 0 && now.Sub(w.turnedAway[0]) > time.Second {
			w.turnedAway = w.turnedAway[1:]
		}
		if n := len(w.turnedAway); w.brittle && n > w.cfg.brittleLimit {
			w.fall(fmt.Sprintf("%d turned away in a second, it bears %d", n, w.cfg.brittleLimit))
		}
		w.mu.Unlock()
		return errNoRoom
	}
	w.waiting++
	for w.running >= w.cfg.slots {
		freed := w.freed
		w.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
		case <-life.Done():
		}
		w.mu.Lock()
		if ctx.Err() != nil || life.Err() != nil {
			w.waiting--
			w.mu.Unlock()
			return context.Canceled
		}
	}
	w.waiting--
	w.running++
	w.mu.Unlock()
	return nil
}

func (w *worker) leave(life context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life == life {
		w.running--
		close(w.freed)
		w.freed = make(chan struct{})
	}
}

func (w *worker) serve(life context.Context, out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names["request_id"])
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	if w.brittle {
		out.Header().Set(names["brittle"], strconv.Itoa(w.cfg.brittleLimit))
	}
	w.mu.Unlock()
	if id != "" {
		out.Header().Set(names["request_id"], id)
	}
	if expect := r.Header.Get(names["expect"]); expect != "" && expect != w.cfg.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	w.record.arrive(id, w.cfg.id, host)
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get(names["deadline"])); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	switch err := w.admit(life, ctx); {
	case errors.Is(err, errNoRoom):
		w.record.count("turned away", 1)
		out.Header().Set(names["not_run"], "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	defer w.leave(life)
	w.mu.Lock()
	fails := rand.Float64() < w.grey
	w.mu.Unlock()
	work, crashes := w.cfg.work, false
	switch {
	case fails:
	case w.cfg.poisonAfter > 0 && string(body) == poisonBody:
		work, crashes = w.cfg.poisonAfter, true
	case !w.cfg.bearsPart && strings.Contains(","+r.Header.Get(names["prefix"]), ","+badPart+":"):
		crashes = true
	}
	w.record.run(id, w.cfg.id)
	select {
	case <-time.After(work):
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	case <-life.Done():
		panic(http.ErrAbortHandler)
	}
	out.Header().Set(names["seal"], "seal-"+w.cfg.id+"-"+id)
	switch {
	case crashes:
		w.mu.Lock()
		w.record.crash(id)
		w.fall("request " + id)
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	case fails:
		w.record.count("failed by workers", 1)
		out.WriteHeader(http.StatusInternalServerError)
		return
	case w.cfg.events > 0:
		w.stream(life, ctx, out, id)
		return
	}
	_, _ = fmt.Fprintf(out, "%s %s %s %s", id, r.Method, r.URL.Path, strings.TrimSpace(string(body)))
}

// stream sends the events of an answer.
func (w *worker) stream(life, ctx context.Context, out http.ResponseWriter, id string) {
	out.Header().Set("Content-Type", "text/event-stream")
	for n := range w.cfg.events {
		_, err := fmt.Fprintf(out, "id: %d\ndata: %s %d\n\n", n+1, id, n+1)
		if err == nil {
			err = http.NewResponseController(out).Flush()
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(w.cfg.eventGap):
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		case <-life.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (w *worker) setGrey(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.grey = share
}
