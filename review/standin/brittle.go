package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// brittleLimit is the number of requests that a brittle worker may turn away in a second.
	brittleLimit = 20
	// usualQueue is the number of requests that a worker lets wait, brittleQueue that of a
	// brittle one from contact_ms after it has said so.
	usualQueue   = 24
	brittleQueue = 6
	// usualRate is the traffic a second over all machines; the workers can run 400.
	usualRate = 300
)

// runBrittle sends a burst of requests to brittle workers.
func runBrittle(f *fleet) (bool, error) {
	f.configure([]service{{name: "charts", maxConnections: 96}}, []route{
		{name: "read", prefix: "/read/", kind: "idempotent", service: "charts", timeoutMS: 2000, aimMS: 300, attempts: 2, priority: 1},
		{name: "save", prefix: "/save/", kind: "non_idempotent", service: "charts", timeoutMS: 2000, aimMS: 300, attempts: 1, priority: 1},
	})
	var workers []*worker
	for i := range 4 {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "charts", zone: []string{"occ-a", "occ-b"}[i%2], slots: 6, queue: usualQueue, work: 60 * time.Millisecond}
		workers = append(workers, w)
		if err := f.startWorker(w); err != nil {
			return false, err
		}
	}
	if err := f.startEntries("occ-a", "occ-b"); err != nil {
		return false, err
	}
	setAll := func(set func(w *worker)) {
		for _, w := range workers {
			w.mu.Lock()
			set(w)
			w.mu.Unlock()
		}
	}
	percent := burstPercent
	if p, err := strconv.Atoi(os.Getenv("BURST")); err == nil {
		percent = p
	}
	var running sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	lost := 0
	send := func(n int) {
		e := f.entries[n%len(f.entries)]
		target := "/read/"
		method := http.MethodGet
		if n%4 == 3 {
			target, method = "/save/", http.MethodPost
		}
		r := request{method: method, target: target + fmt.Sprint(n), id: f.nextID(), body: []byte("profile"), deadline: 4 * time.Second}
		c := &client{address: e.front}
		a := c.send(r)
		c.close()
		f.rec.add("client: %s %s at %s: status %d, error %v, took %.3f s", r.id, r.target, e.name, a.status, a.err, a.took.Seconds())
		mu.Lock()
		defer mu.Unlock()
		statuses[fmt.Sprint(a.status)]++
		if a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout {
			lost++
		}
	}
	sent := 0
	play := func(what string, rate int, length time.Duration) {
		f.rec.say("%s: %d requests a second for %.0f s", what, rate, length.Seconds())
		start := time.Now()
		for n := 0; ; n++ {
			due := start.Add(time.Duration(n) * time.Second / time.Duration(rate))
			if due.Sub(start) >= length {
				return
			}
			time.Sleep(time.Until(due))
			sent++
			number := sent
			running.Go(func() { send(number) })
		}
	}
	play("usual traffic", usualRate, 3*time.Second)
	f.rec.say("the workers say that they are brittle")
	setAll(func(w *worker) { w.brittle = brittleLimit })
	play("usual traffic", usualRate, contact+time.Second)
	setAll(func(w *worker) { w.queue = brittleQueue })
	if f.trouble {
		play("burst", usualRate*percent/100, 3*time.Second)
	} else {
		play("usual traffic", usualRate, 3*time.Second)
	}
	play("usual traffic", usualRate, 4*time.Second)
	running.Wait()
	falls, rejected := 0, 0
	setAll(func(w *worker) { falls, rejected = falls+len(w.falls), rejected+w.totalRejected })
	f.rec.say("answers by status %v; %d requests were turned away by workers; workers fell over %d times, %d requests ended with 502 or 504", statuses, rejected, falls, lost)
	return float64(falls) > 2+0.1*float64(len(workers)), nil
}
