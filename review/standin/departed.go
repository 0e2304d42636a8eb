package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// departures is the number of machines that are removed for good, departuresAtOnce that of
	// those that run at a time.
	departures       = 40
	departuresAtOnce = 20
	// callInterval is the time between two requests of the clients.
	callInterval = 50 * time.Millisecond
	// recoveryTime is recovery_s of the settings.
	recoveryTime = 12 * time.Second
	// beforeTime is the time of traffic before the final fault, judgedTime that after the
	// recovery.
	beforeTime = 10 * time.Second
	judgedTime = 20 * time.Second
	// Plain requests count tokensPerCall tokens. The quota is twice what the clients use.
	tokensPerCall  = 200
	tokensPerSec   = 8000
	goneOffset     = 100
	memberRowTable = "galenahitch_entries"
)

// shareServed sends requests of one tenant to all machines in turn and returns the share that
// was served.
func (f *fleet) shareServed(phase string, d time.Duration) float64 {
	var all sync.WaitGroup
	var mu sync.Mutex
	served, total := 0, 0
	statuses := map[int]int{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(callInterval) {
		e := f.entries[total%len(f.entries)]
		total++
		all.Go(func() {
			c := &client{address: e.front}
			defer c.close()
			r := request{method: http.MethodPost, target: "/save/1", id: f.nextID(), body: []byte("{}"), deadline: 4 * time.Second, header: map[string]string{"Authorization": "Bearer " + apiKey}}
			a := c.send(r)
			f.rec.add("client: %s to %s ends after %.3f s with status %d, error %v", r.id, e.name, a.took.Seconds(), a.status, a.err)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			if a.err == nil && a.status == http.StatusOK {
				served++
			}
		})
	}
	all.Wait()
	f.rec.say("%s: %d of %d requests served, by status %v", phase, served, total, statuses)
	return float64(served) / float64(total)
}

// removeMachines starts machines of the system and removes them for good, without SIGTERM if
// the case has its disruption.
func (f *fleet) removeMachines(from, n int) error {
	var gone []*entry
	for i := range n {
		e, err := newEntry(f.dir, fmt.Sprintf("front-occ-a-%d", goneOffset+from+i), fmt.Sprintf("127.0.1.%d", 1+from+i), "occ-a", f.store.address, f.cloud)
		if err != nil {
			return err
		}
		f.gone = append(f.gone, e)
		gone = append(gone, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range gone {
		if err := e.awaitReady(); err != nil {
			return err
		}
	}
	for _, e := range gone {
		signal := syscall.SIGTERM
		if f.trouble {
			signal = syscall.SIGKILL
		}
		if err := e.command.Process.Signal(signal); err != nil {
			return err
		}
	}
	for _, e := range gone {
		<-e.exited
	}
	f.rec.add("platform: %d machines are removed for good", n)
	return nil
}

// runDeparted plays the loss of single machines over time and, at the end, the fault of all.
func runDeparted(f *fleet) (bool, error) {
	f.configureTenant(
		[]service{{name: "perfil", maxConnections: 96}},
		[]route{{name: "profile-save", prefix: "/save/", kind: "non_idempotent", service: "perfil", timeoutMS: 4000, aimMS: 300, attempts: 1}},
		tokensPerSec, tokensPerCall,
	)
	for i, zone := range []string{"occ-a", "occ-b", "occ-c", "occ-a"} {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "perfil", zone: zone, slots: 6, queue: 6, work: 60 * time.Millisecond}
		if err := f.startWorker(w); err != nil {
			return false, err
		}
	}
	if err := f.startEntries("occ-a", "occ-b", "occ-c"); err != nil {
		return false, err
	}
	before := f.shareServed("before the final fault", beforeTime)
	for from := 0; from < departures; from += departuresAtOnce {
		if err := f.removeMachines(from, departuresAtOnce); err != nil {
			return false, err
		}
	}
	f.rec.add("platform: all processes are killed")
	for _, e := range f.entries {
		e.kill()
	}
	time.Sleep(time.Second)
	back := time.Now()
	for _, e := range f.entries {
		if err := e.start(); err != nil {
			return false, err
		}
	}
	f.rec.add("platform: the machines are back, rows of machines in the store: %d", f.store.count(memberRowTable))
	for _, e := range f.entries {
		if err := e.awaitReady(); err != nil {
			return false, err
		}
	}
	f.shareServed("during the recovery", time.Until(back.Add(recoveryTime)))
	after := f.shareServed("after the recovery", judgedTime)
	return before >= 0.25 && after < 0.25, nil
}
