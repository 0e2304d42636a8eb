package server

import (
	"context"
	"sync"
	"time"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/replayer"
	"github.com/galenahitch/galenahitch/pkg/charter"
	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/planner"
	"github.com/galenahitch/galenahitch/pkg/reclaimer"
)

// request is one request for a streamed answer on this entry.
type request struct {
	id          string
	org         planner.Organisation
	route       planner.Route
	digest      string
	body        []byte
	maxTokens   int
	fingerprint isolator.Fingerprint
	started     time.Time
	deadline    time.Time
	buffer      replayer.Buffer
	cancel      context.CancelFunc
	relayed     chan struct{}

	// admitted marks a run that holds a place in its deployment's limiter,
	// boot is that of the upstream's process, failedOn the version of the last
	// failed attempt. They belong to the relay.
	admitted bool
	boot     string
	failedOn string

	mu       sync.Mutex
	state    charter.State
	attempts int
	unsent   int
	exclude  []string
	target   dispatcher.Target
	lastOn   string
	lastAt   time.Time
	order    *order
	interval context.CancelFunc
	ended    time.Time
	unread   time.Time
}

// order tells a relay to leave its upstream.
type order struct {
	way reclaimer.Action
	// to and version name the next upstream, if the order has chosen it.
	to      dispatcher.Target
	version string
	// stop ends the relay: the run goes to a peer.
	stop bool
}

// step moves the run along its chart. An event that the chart does not allow
// leaves it where it is.
func (r *request) step(event charter.Event) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	next, err := charter.Request().Next(r.state, event)
	if err != nil {
		return false
	}
	r.state = next
	return true
}

// interrupt gives the relay an order and wakes it.
func (r *request) interrupt(o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order != nil && r.order.stop {
		return
	}
	r.order = &o
	if r.interval != nil {
		r.interval()
	}
}

// takeOrder returns the order that ended an attempt, if there was one.
func (r *request) takeOrder() *order {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.order
	if o != nil && !o.stop {
		r.order = nil
	}
	return o
}

// clearOrder lets the run go on here.
func (r *request) clearOrder() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.order = nil
}

// begin starts an attempt at now and returns its context.
func (r *request) begin(ctx context.Context, now time.Time, target dispatcher.Target) (context.Context, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ctx, r.interval = context.WithCancel(ctx)
	if r.order != nil {
		r.interval()
	}
	r.attempts++
	r.target = target
	r.lastOn = target.ID
	r.lastAt = now
	return ctx, r.attempts
}

// finish ends the attempt.
func (r *request) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.interval != nil {
		r.interval()
		r.interval = nil
	}
	r.target = dispatcher.Target{}
}

// on returns the upstream that the run is on.
func (r *request) on() dispatcher.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// wasOn reports whether the newest attempt, ended or not, is on an upstream and
// began before a time.
func (r *request) wasOn(upstream string, before time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastOn == upstream && r.lastAt.Before(before)
}

// avoid keeps later attempts from an upstream.
func (r *request) avoid(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exclude = append(r.exclude, id)
}

func (r *request) avoided() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.exclude...)
}

// forgive lets later attempts go anywhere again.
func (r *request) forgive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exclude = nil
}

// attemptNumber returns the number of the newest attempt.
func (r *request) attemptNumber() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts
}

// mayHaveRun returns the number of attempts that are not known to have ended
// before the upstream got the request.
func (r *request) mayHaveRun() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts - r.unsent
}

// notRun records that the newest attempt did not run.
func (r *request) notRun() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}

// refuse ends the run with a refusal.
func (r *request) refuse(refusal *judge.Refusal) {
	refusal.RequestID = r.id
	if r.buffer.Len() > 0 && refusal.Verdict == judge.NotRun {
		refusal.Verdict = judge.MayHaveRun
	}
	if !r.step("refuse") {
		r.step("fail")
	}
	r.buffer.End(replayer.End{Kind: replayer.Refused, Refusal: refusal})
}

// unreadSince returns how long nobody has read the run. It is called for runs
// without readers, again and again; a run that is read starts anew.
func (r *request) unreadSince(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unread.IsZero() {
		r.unread = now
	}
	return now.Sub(r.unread)
}

// read records that the run has readers.
func (r *request) read() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unread = time.Time{}
}

// registry holds the runs of an entry by request id.
type registry struct {
	mu   sync.Mutex
	runs map[string]*request
}

func newRegistry() *registry { return &registry{runs: map[string]*request{}} }

// start adds a run, or returns the one that is there already.
func (g *registry) start(r *request) (*request, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if existing, ok := g.runs[r.id]; ok && !existing.retryable() {
		return existing, false
	}
	g.runs[r.id] = r
	return r, true
}

// retryable reports whether the run ended without an answer, so that the same
// request may start anew.
func (r *request) retryable() bool {
	return r.buffer.EndState().Kind == replayer.Refused
}

func (g *registry) find(id string) (*request, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.runs[id]
	return r, ok
}

// open lists the runs that have not ended.
func (g *registry) open() []*request {
	g.mu.Lock()
	defer g.mu.Unlock()
	var open []*request
	for _, r := range g.runs {
		if r.buffer.EndState().Kind == replayer.Open {
			open = append(open, r)
		}
	}
	return open
}

// sweep drops runs that ended long ago and returns those that nobody reads.
func (g *registry) sweep(now time.Time) []*request {
	g.mu.Lock()
	defer g.mu.Unlock()
	var unread []*request
	for id, r := range g.runs {
		if r.buffer.EndState().Kind == replayer.Open {
			if r.buffer.Readers() == 0 {
				unread = append(unread, r)
			} else {
				r.read()
			}
			continue
		}
		if r.ended.IsZero() {
			r.ended = now
		}
		if now.Sub(r.ended) > endedRunRetention || len(g.runs) > maxRuns {
			delete(g.runs, id)
		}
	}
	return unread
}
