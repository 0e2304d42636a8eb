package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// contact is contact_ms of the settings.
	contact = 3 * time.Second
	// cutAfter and cutFor are when the cut begins and how long it lasts.
	cutAfter = 4 * time.Second
	cutFor   = 6 * time.Second
	// zoneClients is the number of clients of each machine, clientGap the time between two of
	// their requests.
	zoneClients = 8
	clientGap   = 150 * time.Millisecond
)

// tally counts first tries.
type tally struct{ asked, served int }

func (t tally) share() float64 {
	if t.asked == 0 {
		return 0
	}
	return float64(t.served) / float64(t.asked)
}

// ingress selects machines for new connections as the platform does: two misses in a row take a
// machine out, unless fewer than half are left.
type ingress struct {
	f   *fleet
	out []atomic.Bool
}

func (g *ingress) run(stop <-chan struct{}) {
	misses := make([]int, len(g.f.entries))
	for {
		for i, e := range g.f.entries {
			if e.isReady() {
				misses[i] = 0
			} else {
				misses[i]++
			}
			if out := misses[i] >= 2; out != g.out[i].Swap(out) {
				g.f.rec.add("platform: %s in rotation: %t", e.name, !out)
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// pick returns the machine for a new connection of a client.
func (g *ingress) pick(client int) int {
	first := client % len(g.f.entries)
	for i := range g.f.entries {
		if next := (first + i) % len(g.f.entries); !g.out[next].Load() {
			return next
		}
	}
	return first
}

// runPartition cuts one of two machines off from all workers. Clients, the store and the other
// machine still reach it.
func runPartition(f *fleet) (bool, error) {
	f.configure([]service{{name: "charts", maxConnections: 96}}, []route{
		{name: "read", prefix: "/read/", kind: "idempotent", service: "charts", timeoutMS: 2000, aimMS: 300, attempts: 2, priority: 1},
	})
	var cut atomic.Value
	cut.Store("")
	var workers []*worker
	for i := range 4 {
		w := &worker{
			id: fmt.Sprintf("i-%d", i+1), service: "charts", zone: []string{"occ-a", "occ-b"}[i%2], slots: 6, queue: 24, work: 60 * time.Millisecond,
			admitted: func(remote string) bool { return cut.Load() != remote },
		}
		workers = append(workers, w)
		if err := f.startWorker(w); err != nil {
			return false, err
		}
	}
	if err := f.startEntries("occ-a", "occ-a"); err != nil {
		return false, err
	}
	gate := &ingress{f: f, out: make([]atomic.Bool, len(f.entries))}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { gate.run(stop) })
	started := time.Now()
	judgedFrom, judgedUntil := started.Add(cutAfter+contact), started.Add(cutAfter+cutFor)
	var mu sync.Mutex
	tallies := make([]tally, len(f.entries))
	for n := range zoneClients * len(f.entries) {
		running.Go(func() {
			at := gate.pick(n)
			c := &client{address: f.entries[at].front}
			defer c.close()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(clientGap):
				}
				if c.conn == nil || i%8 == 7 {
					// A new connection goes to a machine in rotation.
					c.close()
					at = gate.pick(n)
					c.address = f.entries[at].front
				}
				sent := time.Now()
				r := request{method: http.MethodGet, target: "/read/" + fmt.Sprint(n), id: f.nextID(), deadline: 4 * time.Second}
				a := c.send(r)
				f.rec.add("client %d: %s at %s: status %d, error %v, took %.3f s", n, r.id, f.entries[at].name, a.status, a.err, a.took.Seconds())
				if sent.Before(judgedFrom) || sent.After(judgedUntil) {
					continue
				}
				mu.Lock()
				tallies[at].asked++
				if a.err == nil && a.status == http.StatusOK {
					tallies[at].served++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(cutAfter)
	if f.trouble {
		ip := f.entries[0].ip
		f.rec.say("%s is cut off from all workers", f.entries[0].name)
		cut.Store(ip)
		for _, w := range workers {
			w.resetFrom(ip)
		}
	}
	time.Sleep(cutFor)
	cut.Store("")
	f.rec.add("the cut ends")
	time.Sleep(time.Second)
	close(stop)
	running.Wait()
	first, other := tallies[0], tallies[1]
	asked, failures := first.asked+other.asked, first.asked+other.asked-first.served-other.served
	f.rec.say("first tries from contact_ms after the cut: %d of %d served at %s, %d of %d at %s; %d of %d failed", first.served, first.asked, f.entries[0].name, other.served, other.asked, f.entries[1].name, failures, asked)
	if other.asked == 0 || other.share() < 0.9 {
		return false, fmt.Errorf("the other machine did not serve its clients")
	}
	return first.share() < other.share()*2/3 && float64(failures) > 10+float64(asked)/50 && first.asked > 0, nil
}
