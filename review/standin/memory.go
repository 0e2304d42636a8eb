package main

import (
	"bytes"
	"fmt"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// zoneRate is the number of requests a second of a zone with one machine, and burstPercent
	// the largest burst that the deployment names.
	zoneRate     = 37.4
	burstPercent = 170
	// readers are the clients that repeat small requests on kept connections meanwhile. These
	// take longWork, the longest that the deployment names.
	readers  = 12
	longWork = 450 * time.Millisecond
	// linkMBs is the speed of the machine's link, 1,000 Mbit/s.
	linkMBs = 125
)

// residentMB returns the memory that a process uses, in MB.
func residentMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, text, _ := strings.Cut(string(status), "VmRSS:")
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return 0
	}
	kibibytes, _ := strconv.Atoi(fields[0])
	return kibibytes >> 10
}

// limitMemory kills the process of an entry when it uses more memory than its machine has, as
// the platform does, and starts it again. It returns the most memory used and the kills.
func (f *fleet) limitMemory(e *entry, stop <-chan struct{}) (peak int, kills []time.Time) {
	for {
		select {
		case <-stop:
			return peak, kills
		case <-time.After(5 * time.Millisecond):
		}
		used := residentMB(e.command.Process.Pid)
		if used > peak {
			peak = used
		}
		if used <= memoryMB {
			continue
		}
		f.rec.add("platform: %s uses %d MB of %d and is killed", e.name, used, memoryMB)
		kills = append(kills, time.Now())
		e.kill()
		time.Sleep(500 * time.Millisecond)
		if err := e.start(); err != nil {
			f.rec.add("platform: %v", err)
		}
	}
}

// runMemory lets clients send the largest bodies that the configuration allows, all at once or
// one after the other. No request that has reached a worker may lose its answer.
func runMemory(f *fleet) (bool, error) {
	f.configure([]service{{name: "profiles", maxConnections: 230}}, []route{
		{name: "save", prefix: "/save/", kind: "non_idempotent", service: "profiles", timeoutMS: 10000, aimMS: 1000, attempts: 1, priority: 1},
		{name: "file", prefix: "/file/", kind: "non_idempotent", service: "profiles", timeoutMS: 4000, aimMS: 1000, attempts: 1, priority: 0},
	})
	var workers []*worker
	for i := range 4 {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "profiles", zone: "occ-a", slots: 32, queue: 67, work: longWork}
		workers = append(workers, w)
		if err := f.startWorker(w); err != nil {
			return false, err
		}
	}
	if err := f.startEntries("occ-a"); err != nil {
		return false, err
	}
	e := f.entries[0]
	stopPlatform, stopReaders := make(chan struct{}), make(chan struct{})
	var platform, reads sync.WaitGroup
	var peak int
	var kills []time.Time
	platform.Add(1)
	go func() {
		defer platform.Done()
		peak, kills = f.limitMemory(e, stopPlatform)
	}()
	var mu sync.Mutex
	lost, served := 0, 0
	judge := func(kind string, r request, a answer) {
		mu.Lock()
		defer mu.Unlock()
		ran := false
		for _, w := range workers {
			ran = ran || w.hasRun(r.id)
		}
		f.rec.add("client: %s %s: status %d, error %v, kept connection %t, run %t, took %.3f s", kind, r.id, a.status, a.err, a.reused, ran, a.took.Seconds())
		switch {
		case a.err == nil && a.status == http.StatusOK:
			served++
		case a.err != nil && a.status == 0 && a.reused && ran:
			lost++
			f.rec.add("client: BROKEN: %s was run and its kept connection ended without an answer", r.id)
		}
	}
	for range readers {
		reads.Add(1)
		go func() {
			defer reads.Done()
			c := &client{address: e.front}
			defer c.close()
			for {
				r := request{method: http.MethodPost, target: "/file/1", id: f.nextID(), body: []byte("small"), deadline: 4 * time.Second}
				judge("small request", r, c.send(r))
				select {
				case <-stopReaders:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		}()
	}
	time.Sleep(4 * time.Second)
	body := bytes.Repeat([]byte("0123456789abcdef"), maxBodyBytes/16)
	clients := int(math.Round(zoneRate * burstPercent / 100))
	if n, err := strconv.Atoi(os.Getenv("CLIENTS")); err == nil {
		clients = n
	}
	upload := func(pace time.Duration) {
		c := &client{address: e.front}
		defer c.close()
		// The connection is one that the client has kept.
		r := request{method: http.MethodPost, target: "/save/1", id: f.nextID(), body: []byte("small"), deadline: 10 * time.Second}
		judge("save", r, c.send(r))
		r = request{method: http.MethodPost, target: "/save/1", id: f.nextID(), body: body, deadline: 10 * time.Second, pace: pace}
		judge("large save", r, c.send(r))
	}
	pace := time.Duration(clients*len(body)) * time.Second / (linkMBs * 1e6)
	f.rec.say("%d clients send %d bytes each, over %.1f s if at once", clients, len(body), pace.Seconds())
	var uploads sync.WaitGroup
	for range clients {
		if !f.trouble {
			upload(0)
			continue
		}
		uploads.Add(1)
		go func() {
			defer uploads.Done()
			upload(pace)
		}()
	}
	uploads.Wait()
	time.Sleep(3 * time.Second)
	close(stopReaders)
	reads.Wait()
	close(stopPlatform)
	platform.Wait()
	f.rec.say("%d requests were served, %d were run and lost their answers; the process used up to %d MB of %d and was killed %d times", served, lost, peak, memoryMB, len(kills))
	return lost > 3, nil
}
