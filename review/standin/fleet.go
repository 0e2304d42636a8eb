package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// fleet is a small deployment: the platform, workers and machines of the system.
type fleet struct {
	rec     *record
	dir     string
	store   *store
	cloud   string
	entries []*entry
	// gone are the machines that were removed for good.
	gone    []*entry
	trouble bool
	ids     atomic.Int64
}

// service is a service of the configuration.
type service struct {
	name           string
	maxConnections int
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMS, aimMS, gapMS     int
	attempts, priority          int
	resume                      bool
}

const host = "boutique.example"

func newFleet(rec *record, trouble bool) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, trouble: trouble}
	if f.store, err = newStore(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.cloud = listener.Addr().String()
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			rec.add("cloud: %s from %s with token %s", r.URL.Path, r.Header.Get(names.Holder), r.Header.Get(names.Fence))
			w.WriteHeader(http.StatusOK)
		}))
	}()
	return f, nil
}

// tenant is the only tenant of a configuration, and apiKey its key.
const (
	tenant = "hule930"
	apiKey = "i9n73hh2b9wu3fexd9dn"
)

// configure writes the first configuration, in which all routes are public.
func (f *fleet) configure(services []service, routes []route) {
	f.writeConfig(services, routes, true, []any{})
}

// configureTenant writes the first configuration, with a tenant whose quota counts tokens.
func (f *fleet) configureTenant(services []service, routes []route, rate, plainTokens int) {
	f.writeConfig(services, routes, false, []any{map[string]any{
		"name": tenant, "api_keys": []string{apiKey}, "priority": 1, "unit": "token_count", "plain_tokens": plainTokens, "rate_per_s": rate, "burst": rate,
	}})
}

func (f *fleet) writeConfig(services []service, routes []route, public bool, tenants []any) {
	var serviceRows, routeRows []map[string]any
	for _, s := range services {
		serviceRows = append(serviceRows, map[string]any{"name": s.name, "health_path": "/health", "max_connections": s.maxConnections, "protocol": "h1", "tls": false})
	}
	for _, r := range routes {
		routeRows = append(routeRows, map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeoutMS, "target_latency_ms": r.aimMS, "target_gap_ms": r.gapMS,
			"priority": r.priority, "service": r.service, "max_attempts": r.attempts, "public": public, "stream_resume": r.resume,
		})
	}
	f.store.put("op", "config", map[string]any{
		"version": 7, "routes": routeRows, "services": serviceRows,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
}

// maxBodyBytes is the limit of the configuration for the bodies of requests.
const maxBodyBytes = 4194304

// startEntries starts machines, the first one at 127.0.0.11.
func (f *fleet) startEntries(zones ...string) error {
	for i, zone := range zones {
		e, err := newEntry(f.dir, fmt.Sprintf("front-%s-%d", zone, i+1), fmt.Sprintf("127.0.0.%d", 11+i), zone, f.store.address, f.cloud)
		if err != nil {
			return err
		}
		f.entries = append(f.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range f.entries {
		if err := e.awaitReady(); err != nil {
			return err
		}
		f.rec.add("%s is ready at %s", e.name, e.front)
	}
	return nil
}

// end ends all processes and keeps the logs of the entries if LOGS names a directory.
func (f *fleet) end() {
	for _, e := range append(f.gone, f.entries...) {
		e.kill()
		_ = e.log.Close()
		if to := os.Getenv("LOGS"); to != "" {
			if text, err := os.ReadFile(e.log.Name()); err == nil {
				_ = os.WriteFile(to+"/"+e.name+".log", text, 0o600)
			}
		}
	}
	_ = os.RemoveAll(f.dir)
}

// nextID returns the id of a client's attempt.
func (f *fleet) nextID() string { return fmt.Sprintf("%016x", f.ids.Add(1)) }

// listWorker lists a process of a worker that starts now. It keeps its row in the store as a
// heartbeat does until the result is closed.
func (f *fleet) listWorker(id, service, address, zone string, slots int) chan struct{} {
	born, stop := time.Now().UnixMilli(), make(chan struct{})
	write := func(sequence int) {
		f.store.put("servers", id, map[string]any{
			"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "born": born, names.Cold: 0, "sequence": sequence,
		})
	}
	write(1)
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for sequence := 2; ; sequence++ {
			select {
			case <-ticker.C:
				write(sequence)
			case <-stop:
				return
			}
		}
	}()
	return stop
}

// heartbeat is heartbeat_ms of the settings.
const heartbeat = 1200 * time.Millisecond
