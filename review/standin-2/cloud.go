package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// cloudCall is a duty's call.
type cloudCall struct {
	at                        time.Time
	path, holder, fence, body string
	from                      string
}

// cloud is the platform's API.
type cloud struct {
	mu    sync.Mutex
	calls []cloudCall
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, cloudCall{at: time.Now(), path: r.URL.Path, holder: r.Header.Get(names["holder"]), fence: r.Header.Get(names["fence"]), body: string(body), from: host})
	w.WriteHeader(http.StatusOK)
}
