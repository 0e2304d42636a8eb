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

// request is one chat request on this entry, also called a run: its attempts and
// the buffer of its response, which callers and peers read.
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

	// admitted means that the run takes up capacity of its deployment's limiter.
	// bootID is the boot ID of the current upstream's process, failedVersion the
	// version of the last failed attempt. Only the relay uses these three while
	// it runs.
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

// interruption makes a relay end its attempt on the current upstream.
type interruption struct {
	action reclaimer.Action
	// nextTarget and nextVersion are the upstream and the version of the next
	// attempt; if nextTarget is empty, the relay chooses them.
	nextTarget  dispatcher.Target
	nextVersion string
	// stopRelay ends the relay, for a handoff of the run to a peer.
	stopRelay bool
}

// transition applies an event of the request's state chart. It returns false, and
// leaves the state unchanged, if the chart does not allow the event in this state.
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

// interrupt cancels the current attempt, if there is one, and gives the relay the
// interruption to act on. It does not replace an interruption that stops the relay.
func (r *request) interrupt(intr interruption) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.interruption != nil && r.interruption.stopRelay {
		return
	}
	r.interruption = &intr
	if r.cancelAttempt != nil {
		r.cancelAttempt()
	}
}

// takeInterruption returns the interruption, or nil if there is none, and clears it
// unless it stops the relay.
func (r *request) takeInterruption() *interruption {
	r.mu.Lock()
	defer r.mu.Unlock()
	intr := r.interruption
	if intr != nil && !intr.stopRelay {
		r.interruption = nil
	}
	return intr
}

// clearInterruption removes the interruption, so that the run can continue on this
// entry after a failed handoff.
func (r *request) clearInterruption() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interruption = nil
}

// beginAttempt starts an attempt at now and returns its context and its number.
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

// endAttempt cancels the context of the current attempt and clears its target.
func (r *request) endAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelAttempt != nil {
		r.cancelAttempt()
		r.cancelAttempt = nil
	}
	r.target = dispatcher.Target{}
}

// currentTarget returns the upstream of the current attempt, or an empty target
// between attempts.
func (r *request) currentTarget() dispatcher.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// wasInFlightOn reports whether the newest attempt, ended or not, was on the
// upstream and began before the time given.
func (r *request) wasInFlightOn(upstream string, before time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastUpstream == upstream && r.lastAttemptAt.Before(before)
}

// lastAttempt returns the newest attempt, which ended at the given time.
func (r *request) lastAttempt(end time.Time) isolator.Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return isolator.Attempt{Fingerprint: r.fingerprint, Start: r.lastAttemptAt, End: end}
}

// excludeUpstream excludes an upstream from later attempts.
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

// clearExclusions allows all upstreams for later attempts again.
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

// attemptsMayHaveRun returns the number of attempts that may have run: all but those
// known to have failed before the upstream got the request.
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

// endWithRefusal ends the run with a refusal. If the buffer holds parts of a
// response, the verdict can't be NotRun and becomes MayHaveRun.
func (r *request) endWithRefusal(refusal *judge.Refusal) {
	refusal.RequestID = r.id
	if r.buffer.Len() > 0 && refusal.Verdict == judge.NotRun {
		refusal.Verdict = judge.MayHaveRun
	}
	if !r.transition("refuse") {
		r.transition("fail")
	}
	r.buffer.End(replayer.State{Kind: replayer.Refused, Refusal: refusal})
}

// timeUnread returns how long the run has had no readers. It is called periodically
// for runs without readers; the first call starts the timer and markRead resets it.
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

// registry holds the runs of an entry by request ID.
type registry struct {
	mu   sync.Mutex
	runs map[string]*request
}

func newRegistry() *registry { return &registry{runs: map[string]*request{}} }

// addIfAbsent adds a run and returns it with true. If there is one with the same ID
// that is not retryable, it returns that one with false.
func (g *registry) addIfAbsent(r *request) (*request, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if existing, ok := g.runs[r.id]; ok && !existing.retryable() {
		return existing, false
	}
	g.runs[r.id] = r
	return r, true
}

// retryable reports whether the run ended with a refusal, so that a request with
// the same ID may run.
func (r *request) retryable() bool {
	return r.buffer.State().Kind == replayer.Refused
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
		if r.buffer.State().Kind == replayer.Open {
			open = append(open, r)
		}
	}
	return open
}

// sweep deletes runs that ended more than endedRunRetention ago, or all ended runs
// while there are more than maxRuns, and returns the open runs without readers.
func (g *registry) sweep(now time.Time) []*request {
	g.mu.Lock()
	defer g.mu.Unlock()
	var unread []*request
	for id, r := range g.runs {
		if r.buffer.State().Kind == replayer.Open {
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
