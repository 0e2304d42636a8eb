package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// route is a kind of request.
type route struct {
	name, host, prefix string
	method             string
	repeatable         bool
	deadline           time.Duration
	body               string
	header             map[string]string
}

// client sends one request at a time over a connection that it keeps.
type client struct {
	lb     *balancer
	record *record
	key    string
	// fresh says that the client opens a new connection for each request.
	fresh bool
	on    *entry
	http  *http.Client
}

var attempts atomic.Uint64

func newID() string { return fmt.Sprintf("%08x%08x", attempts.Add(1), rand.Uint32()) }

func (c *client) connect(avoid *entry) {
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
	c.on = c.lb.pick(avoid)
	dialer := &net.Dialer{Timeout: time.Second}
	c.http = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: 12 * time.Second, DisableCompression: true}}
}

// do sends a request, and a second time where the platform's pages allow it.
func (c *client) do(r route) {
	end := time.Now().Add(r.deadline)
	if c.http == nil || c.fresh {
		c.connect(nil)
	}
	for try := range 2 {
		t := c.record.send(newID(), r.name, c.on.name, try == 0)
		status, wait := c.attempt(r, t, end)
		promise := status == 408 || status == 421 || status == 429 || status == 503
		switch {
		case status >= 200 && status < 300, status >= 400 && status < 500 && !promise:
			return
		case !promise && !r.repeatable:
			c.connect(c.on)
			return
		}
		left := time.Until(end)
		time.Sleep(min(wait, left/3))
		c.connect(c.on)
		if time.Until(end) <= 0 {
			return
		}
	}
}

func (c *client) attempt(r route, t *tryRecord, end time.Time) (status int, retryAfter time.Duration) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.on.front+r.prefix+"x", strings.NewReader(r.body))
	if err != nil {
		panic(err)
	}
	// The HTTP library must not repeat a request by itself.
	request.GetBody = nil
	if r.body == "" {
		request.Body = http.NoBody
	}
	request.Host = r.host
	request.Header.Set(names["request_id"], t.id)
	request.Header.Set(names["deadline"], strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	for name, value := range r.header {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.record.end(t, 0, false, err.Error())
		return 0, 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	why := ""
	if err != nil {
		why = err.Error()
	} else if response.StatusCode >= 300 {
		why = strings.TrimSpace(string(body))
	}
	c.record.end(t, response.StatusCode, err == nil, why)
	if err != nil {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get(names["retry_after"]), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}

// load sends requests at a rate that may change, each by a client that is free.
type load struct {
	rate    atomic.Uint64
	clients chan *client
	wait    sync.WaitGroup
}

func startLoad(ctx context.Context, perSecond int, clients []*client, pick func() route) *load {
	l := &load{clients: make(chan *client, len(clients))}
	l.rate.Store(uint64(perSecond))
	for _, c := range clients {
		l.clients <- c
	}
	l.wait.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(time.Duration(rand.ExpFloat64() / float64(l.rate.Load()) * float64(time.Second)))
			select {
			case c := <-l.clients:
				l.wait.Go(func() {
					c.do(pick())
					l.clients <- c
				})
			default:
				// All clients wait for answers.
			}
		}
	})
	return l
}
