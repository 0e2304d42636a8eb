package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	appService = "perfil-app"
	appHost    = "talla.example"
	readyLimit = 15 * time.Second
	contact    = 3 * time.Second
)

// appConfig is a configuration with one route that may be repeated and one that may not.
func appConfig() map[string]any {
	r := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": appHost, "prefix": prefix, "kind": kind, "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2,
			"service": appService, "max_attempts": attempts, "public": false, "session_affinity": false,
		}
	}
	return map[string]any{
		"version":  3,
		"routes":   []any{r("profile-save", "/save/", "non_idempotent", 1), r("chart-read", "/chart/", "idempotent", 2)},
		"services": []any{map[string]any{"name": appService, "health_path": "/health", "max_connections": 500, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "boutique", "api_keys": []string{"k1"}, "priority": 1}},
	}
}

// startApp starts machines in the zones before workers of a plain service, and waits until
// all are ready.
func (r *caseRun) startApp(zones []string, workers []workerConfig) error {
	r.store.put("op", "config", appConfig())
	return r.start(zones, workers)
}

// start starts workers and machines.
func (r *caseRun) start(zones []string, workers []workerConfig) error {
	for _, cfg := range workers {
		r.workers = append(r.workers, newWorker(cfg, r.store, r.record))
	}
	entries, err := newEntries(fleetConfig{dir: r.dir, record: r.record, store: r.storeAt, cloud: r.cloudAt, zones: zones})
	if err != nil {
		return err
	}
	r.entries = entries
	for _, e := range entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	r.lb = newBalancer(entries)
	if !r.lb.awaitReady(readyLimit) {
		return errors.New("the machines are not ready")
	}
	return nil
}

func (r *caseRun) clients(n int) []*client {
	all := make([]*client, n)
	for i := range all {
		all[i] = &client{lb: r.lb, record: r.record, key: "k1", fresh: i%3 == 0}
	}
	return all
}

// pickApp returns a request: 5 of 7 may not be repeated, as in the users' tables.
func pickApp() route {
	if rand.IntN(7) < 5 {
		return route{name: "profile-save", host: appHost, prefix: "/save/", method: "POST", deadline: 4 * time.Second, body: "size=38"}
	}
	return route{name: "chart-read", host: appHost, prefix: "/chart/", method: "GET", repeatable: true, deadline: 4 * time.Second}
}

// runBrittle lets the workers of a service be brittle while many users come at once.
func runBrittle(r *caseRun) (bool, string, error) {
	const (
		workers, usual = 4, 230
		brittleLimit   = 40
	)
	zones := []string{"occ-a", "occ-b", "occ-c", "occ-d"}
	var configs []workerConfig
	for i := range workers {
		configs = append(configs, workerConfig{
			id: fmt.Sprintf("i-perfil%d", i+1), service: appService, zone: zones[i], slots: 6, queue: 24, work: 60 * time.Millisecond,
			brittleLimit: brittleLimit, brittleQueue: 4, downFor: 3 * time.Second,
		})
	}
	if err := r.startApp(zones, configs); err != nil {
		return false, "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := startLoad(ctx, usual, r.clients(1500), pickApp)
	time.Sleep(6 * time.Second)
	r.record.add("the workers say that they are brittle: %d", brittleLimit)
	for _, w := range r.workers {
		w.setBrittle(true, false)
	}
	time.Sleep(contact)
	for _, w := range r.workers {
		w.setBrittle(true, true)
	}
	time.Sleep(5 * time.Second)
	if r.trouble {
		r.record.add("many users come at once: 2 x the usual traffic for 5 s")
		l.rate.Store(2 * usual)
	}
	time.Sleep(5 * time.Second)
	l.rate.Store(usual)
	time.Sleep(8 * time.Second)
	for _, w := range r.workers {
		w.setBrittle(false, false)
	}
	cancel()
	l.wait.Wait()
	falls, lost, denied := r.record.get("falls"), 0, 0
	for _, t := range r.record.all() {
		if t.route == "profile-save" && len(t.runs) > 0 && !t.whole || t.status == 502 || t.status == 504 {
			lost++
		}
		if t.status == 503 {
			denied++
		}
	}
	limit := 2 + workers/10
	return falls <= limit, fmt.Sprintf("the workers fell over %d times, at most %d are allowed; %d requests turned away by workers, %d that began to run or may have got no answer of a worker, %d answered 503",
		falls, limit, r.record.get("turned away"), lost, denied), nil
}
