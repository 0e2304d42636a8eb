package main

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// tryRecord is what is known of one client attempt.
type tryRecord struct {
	id, route, machine string
	first              bool
	sent               time.Duration
	runs               []string
	arrivals           []string
	// status is that of the answer, 0 if there was none.
	status int
	whole  bool
	why    string
	took   time.Duration
}

func (t *tryRecord) served() bool { return t.whole && t.status == 200 }

// record is what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	started time.Time
	lines   []string
	counts  map[string]int
	tries   map[string]*tryRecord
	order   []*tryRecord
	// crashes are the times at which requests that are known to do so crashed workers,
	// disturbed those at which machines were last stopped, killed, started or frozen.
	crashes   []time.Duration
	disturbed map[string][]time.Duration
}

func newRecord() *record {
	return &record{started: time.Now(), counts: map[string]int{}, tries: map[string]*tryRecord{}, disturbed: map[string][]time.Duration{}}
}

func (r *record) now() time.Duration { return time.Since(r.started) }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", r.now().Seconds()) + fmt.Sprintf(format, args...)
	r.lines = append(r.lines, line)
	fmt.Println(line)
}

func (r *record) count(name string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name] += n
}

func (r *record) get(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[name]
}

func (r *record) send(id, route, machine string, first bool) *tryRecord {
	t := &tryRecord{id: id, route: route, machine: machine, first: first, sent: r.now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tries[id] = t
	r.order = append(r.order, t)
	return t
}

func (r *record) end(t *tryRecord, status int, whole bool, why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.status, t.whole, t.why, t.took = status, whole, why, r.now()-t.sent
}

func (r *record) arrive(id, worker, from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.tries[id]; ok {
		t.arrivals = append(t.arrivals, worker+"<"+from)
	}
}

func (r *record) run(id, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.tries[id]; ok {
		t.runs = append(t.runs, worker)
	}
}

// all returns copies of the tries in the order in which they were sent.
func (r *record) all() []tryRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]tryRecord, 0, len(r.order))
	for _, t := range r.order {
		c := *t
		c.runs, c.arrivals = slices.Clone(t.runs), slices.Clone(t.arrivals)
		out = append(out, c)
	}
	return out
}

func (r *record) write(w io.Writer) {
	tries := r.all()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range r.lines {
		fmt.Fprintln(w, line)
	}
	fmt.Fprintf(w, "\ncounts: %v\n\nsent at, id, route, machine, first try, status, whole, took, workers reached, workers that ran it, cause\n", r.counts)
	for _, t := range tries {
		fmt.Fprintf(w, "%8.3f %s %s %s %v %d %v %.3f %v %v %s\n", t.sent.Seconds(), t.id, t.route, t.machine, t.first, t.status, t.whole, t.took.Seconds(), t.arrivals, t.runs, t.why)
	}
}

func (r *record) crash(string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, r.now())
}

// crashTime returns the time of crash n, counted from 1, and false if there were fewer.
func (r *record) crashTime(n int) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.crashes) < n {
		return 0, false
	}
	return r.crashes[n-1], true
}

func (r *record) disturb(machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed[machine] = append(r.disturbed[machine], r.now())
}

// inTouch reports whether nothing disturbed a machine for contact before a time, or until
// settle after it.
func (r *record) inTouch(machine string, at, settle time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !slices.ContainsFunc(r.disturbed[machine], func(d time.Duration) bool { return d > at-contact && d < at+settle })
}
