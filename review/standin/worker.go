package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
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
	// admitted, if set, reports whether the network lets a machine reach the worker.
	admitted func(remote string) bool

	mu sync.Mutex
	// queue is the number of requests that may wait, present that of those that run or wait.
	queue, present int
	turn           chan struct{}
	runs           map[string]int
	conns          map[net.Conn]bool
	server         *http.Server
	// brittle is the number of requests that it may turn away in a second, 0 for any.
	brittle       int
	rejections    []time.Time
	totalRejected int
	falls         []time.Time
	down          bool
	// unlist ends the updates of the worker's row.
	unlist chan struct{}
}

// startWorker starts a worker and lists it in the store.
func (f *fleet) startWorker(w *worker) error {
	w.f, w.runs, w.conns = f, map[string]int{}, map[net.Conn]bool{}
	w.turn = make(chan struct{}, w.slots)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	w.listen(listener)
	w.unlist = f.listWorker(w.id, w.service, w.address, w.zone, w.slots)
	return nil
}

// cutListener resets the connections of machines that the network cuts off.
type cutListener struct {
	net.Listener
	w *worker
}

func (l cutListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		remote, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
		if l.w.admitted == nil || l.w.admitted(remote) {
			return conn, nil
		}
		resetConn(conn)
	}
}

func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (w *worker) listen(listener net.Listener) {
	w.mu.Lock()
	defer w.mu.Unlock()
	server := &http.Server{Handler: w, ConnState: func(conn net.Conn, state http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if state == http.StateClosed {
			delete(w.conns, conn)
			return
		}
		w.conns[conn] = true
	}}
	w.server = server
	go func() { _ = server.Serve(cutListener{Listener: listener, w: w}) }()
}

// resetFrom resets the connections of a machine.
func (w *worker) resetFrom(ip string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		if strings.HasPrefix(conn.RemoteAddr().String(), ip+":") {
			resetConn(conn)
		}
	}
}

// admit reports whether there is room for a request.
func (w *worker) admit() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || w.present >= w.slots+w.queue {
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
	if brittle := w.currentBrittle(); brittle > 0 {
		out.Header().Set(names.Brittle, strconv.Itoa(brittle))
	}
	if r.Header.Get(names.Instance) != w.id {
		out.Header().Set(names.NotRun, "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !w.admit() {
		w.reject()
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

func (w *worker) currentBrittle() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.brittle
}

// reject counts a request that was turned away. A brittle worker that turns away too many in a
// second falls over.
func (w *worker) reject() {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.totalRejected++
	w.rejections = append(w.rejections, now)
	for len(w.rejections) > 0 && now.Sub(w.rejections[0]) > time.Second {
		w.rejections = w.rejections[1:]
	}
	if w.brittle == 0 || len(w.rejections) <= w.brittle || w.down {
		return
	}
	w.down = true
	w.falls = append(w.falls, now)
	w.f.rec.add("worker: %s turned %d requests away in a second and falls over", w.id, len(w.rejections))
	w.rejections = nil
	server := w.server
	go func() {
		w.mu.Lock()
		for conn := range w.conns {
			resetConn(conn)
		}
		w.mu.Unlock()
		_ = server.Close()
		time.Sleep(fallTime)
		listener, err := net.Listen("tcp4", w.address)
		if err != nil {
			w.f.rec.add("worker: %s does not come back: %v", w.id, err)
			return
		}
		close(w.unlist)
		w.mu.Lock()
		w.down, w.present, w.turn = false, 0, make(chan struct{}, w.slots)
		w.mu.Unlock()
		w.listen(listener)
		w.unlist = w.f.listWorker(w.id, w.service, w.address, w.zone, w.slots)
		w.f.rec.add("worker: %s is back", w.id)
	}()
}

// fallTime is the time for which a worker that has fallen over is away.
const fallTime = 3 * time.Second
