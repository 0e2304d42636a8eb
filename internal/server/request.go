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
	startedAt   time.Time
	deadline    time.Time
	buffer      replayer.Buffer
	cancel      context.CancelFunc
	relayDone   chan struct{}

	// admitted marks a run that holds a place in its deployment's limiter,
	// boot is that of the upstream's process, failedOn the version of the last
	// failed attempt. They belong to the relay.
	admitted      bool
	bootID        string
	failedVersion string

	mu             sync.Mutex
	state          charter.State
	attempts       int
	notRunAttempts int
	excludedIDs    []string
	target         dispatcher.Target
	lastUpstream   string
	lastAttemptAt  time.Time
	interruption   *interruption
	cancelAttempt  context.CancelFunc
	endedAt        time.Time
	unreadSince    time.Time
}

// interruption tells a relay to leave its upstream.
type interruption struct {
	action reclaimer.Action
	// nextTarget and version name the next upstream, if the order has chosen it.
	nextTarget  dispatcher.Target
	nextVersion string
	// stopRelay ends the relay: the run goes to a peer.
	stopRelay bool
}

// transition moves the run along its chart. An event that the chart does not allow
// leaves it where it is.
func (r *request) transition(event charter.Event) bool {
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
func (r *request) interrupt(o interruption) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.interruption != nil && r.interruption.stopRelay {
		return
	}
	r.interruption = &o
	if r.cancelAttempt != nil {
		r.cancelAttempt()
	}
}

// takeInterruption returns the order that ended an attempt, if there was one.
func (r *request) takeInterruption() *interruption {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.interruption
	if o != nil && !o.stopRelay {
		r.interruption = nil
	}
	return o
}

// clearInterruption lets the run go on here.
func (r *request) clearInterruption() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interruption = nil
}

// beginAttempt starts an attempt at now and returns its context.
func (r *request) beginAttempt(ctx context.Context, now time.Time, target dispatcher.Target) (context.Context, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ctx, r.cancelAttempt = context.WithCancel(ctx)
	if r.interruption != nil {
		r.cancelAttempt()
	}
	r.attempts++
	r.target = target
	r.lastUpstream = target.ID
	r.lastAttemptAt = now
	return ctx, r.attempts
}

// endAttempt ends the attempt.
func (r *request) endAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelAttempt != nil {
		r.cancelAttempt()
		r.cancelAttempt = nil
	}
	r.target = dispatcher.Target{}
}

// currentTarget returns the upstream that the run is currentTarget.
func (r *request) currentTarget() dispatcher.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// wasInFlightOn reports whether the newest attempt, ended or not, is on an upstream and
// began before a time.
func (r *request) wasInFlightOn(upstream string, before time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastUpstream == upstream && r.lastAttemptAt.Before(before)
}

// excludeUpstream keeps later attempts from an upstream.
func (r *request) excludeUpstream(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excludedIDs = append(r.excludedIDs, id)
}

func (r *request) excludedUpstreams() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.excludedIDs...)
}

// clearExclusions lets later attempts go anywhere again.
func (r *request) clearExclusions() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excludedIDs = nil
}

// attemptNumber returns the number of the newest attempt.
func (r *request) attemptNumber() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts
}

// attemptsMayHaveRun returns the number of attempts that are not known to have ended
// before the upstream got the request.
func (r *request) attemptsMayHaveRun() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts - r.notRunAttempts
}

// recordNotRun records that the newest attempt did not run.
func (r *request) recordNotRun() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notRunAttempts++
}

// endWithRefusal ends the run with a refusal.
func (r *request) endWithRefusal(refusal *judge.Refusal) {
	refusal.RequestID = r.id
	if r.buffer.Len() > 0 && refusal.Verdict == judge.NotRun {
		refusal.Verdict = judge.MayHaveRun
	}
	if !r.transition("refuse") {
		r.transition("fail")
	}
	r.buffer.End(replayer.End{Kind: replayer.Refused, Refusal: refusal})
}

// timeUnread returns how long nobody has read the run. It is called for runs
// without readers, again and again; a run that is read starts anew.
func (r *request) timeUnread(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreadSince.IsZero() {
		r.unreadSince = now
	}
	return now.Sub(r.unreadSince)
}

// markRead records that the run has readers.
func (r *request) markRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreadSince = time.Time{}
}

// registry holds the runs of an entry by request id.
type registry struct {
	mu   sync.Mutex
	runs map[string]*request
}

func newRegistry() *registry { return &registry{runs: map[string]*request{}} }

// addIfAbsent adds a run, or returns the one that is there already.
func (g *registry) addIfAbsent(r *request) (*request, bool) {
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
				r.markRead()
			}
			continue
		}
		if r.endedAt.IsZero() {
			r.endedAt = now
		}
		if now.Sub(r.endedAt) > endedRunRetention || len(g.runs) > maxRuns {
			delete(g.runs, id)
		}
	}
	return unread
}
