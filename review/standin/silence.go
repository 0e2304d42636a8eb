package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// silenceTime is how long a sound worker sends nothing.
	silenceTime = 1350 * time.Millisecond
	// A stream has streamEvents events, eventInterval apart.
	streamEvents  = 30
	eventInterval = 150 * time.Millisecond
	streams       = 10
)

// runSilence plays a planned restart of a machine while a sound worker falls silent for a
// moment and the other worker has no room.
func runSilence(f *fleet) (bool, error) {
	f.configure(
		[]service{{name: "talla", maxConnections: 230}},
		[]route{{name: "size-chat", prefix: "/chat/", kind: "streaming", service: "talla", timeoutMS: 12000, aimMS: 500, gapMS: 400, attempts: 2, resume: true}},
	)
	workers := []*streamer{}
	for i, zone := range []string{"occ-a", "occ-b"} {
		w := &streamer{id: fmt.Sprintf("i-%d", i+1), zone: zone, places: 8, events: streamEvents, interval: eventInterval}
		if err := f.startStreamer(w, "talla"); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err := f.startEntries("occ-a", "occ-b"); err != nil {
		return false, err
	}
	// Short streams, over connections that are kept.
	clients := make([]*client, streams)
	for i := range clients {
		clients[i] = &client{address: f.entries[0].front}
	}
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, c := range clients {
			if a := c.send(f.streamRequest("/chat/warm?events=1")); a.err != nil || a.status != http.StatusOK {
				return false, fmt.Errorf("a short stream: status %d, %w", a.status, a.err)
			}
		}
	}

	var all sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	for _, c := range clients {
		all.Go(func() {
			r := f.streamRequest("/chat/long")
			f.rec.add("client: sends %s", r.id)
			a := c.send(r)
			received := bytes.Count(a.body, []byte("id: "))
			whole := a.err == nil && a.status == http.StatusOK && received == streamEvents
			f.rec.add("client: %s ends after %.2f s with status %d, %d of %d events, error %v, kept connection %t", r.id, a.took.Seconds(), a.status, received, streamEvents, a.err, a.reused)
			mu.Lock()
			defer mu.Unlock()
			if a.err != nil && !whole {
				cut++
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	f.rec.add("platform: SIGTERM to %s", f.entries[0].name)
	if err := f.entries[0].command.Process.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	for _, w := range workers {
		w.fill()
	}
	time.Sleep(500 * time.Millisecond)
	if f.trouble {
		workers[0].fallSilent(silenceTime)
	}
	all.Wait()
	f.rec.say("streams: %d, cut before their end: %d", streams, cut)
	return cut > 0, nil
}

func (f *fleet) streamRequest(target string) request {
	return request{method: http.MethodPost, target: target, id: f.nextID(), body: []byte("{}"), deadline: 12 * time.Second}
}
