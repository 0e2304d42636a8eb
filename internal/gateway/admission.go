package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/limiter"
	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/router"
)

const (
	// waitShare is the share of a route's target for which a request may wait at the entry.
	// Longer waits have a cost.
	waitShare = 0.125
	// dispatchInterval is the time between two checks of a waiting request for room that no
	// event of this entry shows: a message may show that the load has fallen.
	dispatchInterval = 10 * time.Millisecond
	// maxWaiting is the number of waiting requests of a deployment beyond which an
	// organisation may have no more than its share of them.
	maxWaiting = 64
	// maxWaitLimits bounds the priorities whose waits are told apart.
	maxWaitLimits = 16
	// returnShare is the share of the time left up to which callers honour a retry delay.
	returnShare = 1.0 / 3
	// contentionLogInterval bounds the log lines about contention for one deployment.
	contentionLogInterval = time.Second
)

// admission is the admission control of one deployment.
type admission struct {
	estimator limiter.Estimator
	returns   limiter.Returns
	queue     limiter.Limiter
	waiters   map[limiter.Ticket]*waitingCall
	// waitLimits are the shortest times that calls may wait, by priority.
	waitLimits map[int]time.Duration
	// dispatchedAt is when room was last looked for.
	dispatchedAt time.Time
	loggedAt     time.Time
}

// waitingCall is a call that waits for an upstream with room. The channel is closed once the
// call has left the queue; the other fields are set before that.
type waitingCall struct {
	call *call
	done chan struct{}
	// upstream is the one with room, picked whether there is one; expired reports that the
	// call may wait no longer.
	upstream Upstream
	picked   bool
	expired  bool
}

// admissionFor returns the admission control of a deployment, nil if it is off. The lock must
// be held.
func (st *state) admissionFor(deployment string) *admission {
	if !st.cfg.AdmissionControl {
		return nil
	}
	a, ok := st.admissions[deployment]
	if !ok {
		a = &admission{waiters: map[limiter.Ticket]*waitingCall{}, waitLimits: map[int]time.Duration{}}
		st.admissions[deployment] = a
	}
	return a
}

// mayWait reports whether a call may wait or be refused for want of room. One that may have
// run, or that goes on with a stream, was accepted before and is sent. So is one without a
// target, for which there is no time that is too late.
func (c *call) mayWait() bool {
	return c.runs == 0 && !c.responseStarted && c.request.LastEventID == "" && c.route.TargetLatency > 0
}

// priority returns the priority of a call; 0 is the most urgent.
func (c *call) priority() int {
	if c.org != nil && c.org.Priority != nil {
		return *c.org.Priority
	}
	return c.route.Priority
}

// need returns what a call needs of an upstream.
func (c *call) need() limiter.Need {
	return limiter.Need{Priority: c.priority(), Tokens: c.request.PromptTokens + c.request.MaxResponseTokens}
}

// limiterRequest describes the call to the queue. The worth of a request is not known, so that
// all are worth the same.
func (c *call) limiterRequest() limiter.Request {
	req := limiter.Request{
		Urgency: limiter.Urgency(-c.priority()), Deadline: c.waitUntil,
		Cost: 1 + float64(c.request.PromptTokens)/promptTokensPerLoad, Worth: 1,
	}
	if c.org != nil {
		req.Organisation = c.org.Name
	}
	return req
}

// awaitUpstream picks the upstream of the next attempt. If all are known to be full the call
// waits for room, or is refused if it can't have it in time.
func (g *Gateway) awaitUpstream(ctx context.Context, c *call) (Upstream, *judge.Refusal) {
	now := g.cfg.Now()
	g.state.mu.Lock()
	u, ok, w, cause := g.state.admitNow(now, c)
	g.state.mu.Unlock()
	switch {
	case w != nil:
		return g.awaitRoom(ctx, c, w)
	case cause != "":
		return Upstream{}, g.refuseFull(c, cause)
	case !ok:
		return Upstream{}, g.refuseNoUpstream(c)
	default:
		return u, nil
	}
}

// admitNow picks the upstream of the next attempt; ok reports whether there is one. If all are
// known to be full it queues the call, or returns why the call is refused. The lock must be
// held.
func (st *state) admitNow(now time.Time, c *call) (u Upstream, ok bool, w *waitingCall, cause refusalCause) {
	a := st.admissionFor(c.deployment)
	if a == nil || !a.estimator.Active(now) && len(a.waiters) == 0 || !c.mayWait() {
		u, ok = st.pick(now, c, nil)
		return u, ok, nil, ""
	}
	full, room := st.fullUpstreams(now, c, a)
	if room && len(a.waiters) == 0 {
		a.queue.Charge(c.limiterRequest())
		u, ok = st.pick(now, c, full)
		return u, ok, nil, ""
	}
	if w, cause = st.enqueue(now, c, a); w != nil {
		st.dispatch(now, c.deployment)
	}
	st.logContention(now, c.deployment, a, len(full))
	return Upstream{}, false, w, cause
}

// fullUpstreams returns the upstreams that are known to have no room for a call, and whether
// the call may go to another one. The lock must be held.
func (st *state) fullUpstreams(now time.Time, c *call, a *admission) (full []string, room bool) {
	// Requests during a move, and those with a part that may crash upstreams, go to upstreams
	// that other rules choose.
	if m, ok := st.moves[c.deployment]; ok && m.state == mover.Moving {
		return nil, true
	}
	if _, suspect := st.suspectPart(now, c); suspect {
		return nil, true
	}
	query := router.Request{Deployment: c.deployment, Exclude: c.exclude, Domains: c.domains}
	st.restrictVersion(now, c, &query)
	eligible := st.router.Eligible(now, query)
	need := c.need()
	for _, u := range eligible {
		if a.estimator.Full(now, u.ID, need, st.loadOf(now, u.ID)) {
			full = append(full, u.ID)
		}
	}
	if len(full) < len(eligible) || len(eligible) == 0 {
		return full, true
	}
	// Without these the router may offer cold upstreams, or suspects, which get nothing here.
	query.Exclude = slices.Concat(c.exclude, full)
	return full, slices.ContainsFunc(st.router.Eligible(now, query), func(u router.Upstream) bool {
		return st.router.Admission(now, u.ID).Cause == router.CauseCold && !a.estimator.Full(now, u.ID, need, st.loadOf(now, u.ID))
	})
}

// loadOf returns the load of an upstream. The lock must be held.
func (st *state) loadOf(now time.Time, id string) limiter.Load {
	age, known := st.router.RemoteLoadAge(now, id)
	if !known {
		age = -1
	}
	return limiter.Load{Requests: st.router.EstimatedLoad(now, id), Age: age}
}

// refusalCause says why a call was refused for want of room.
type refusalCause string

const (
	causeQueueLong refusalCause = "queue_long"
	causeLate      refusalCause = "late"
	causeWaited    refusalCause = "waited"
)

// enqueue adds a call to the queue, or returns why it is refused. The lock must be held.
func (st *state) enqueue(now time.Time, c *call, a *admission) (*waitingCall, refusalCause) {
	if c.waitUntil.IsZero() {
		c.waitUntil = now.Add(a.waitLimit(c))
		if c.deadline.Before(c.waitUntil) {
			c.waitUntil = c.deadline
		}
	}
	left := c.waitUntil.Sub(now)
	if left <= 0 {
		return nil, causeWaited
	}
	req := c.limiterRequest()
	// The first in the queue waits in any case: other entries' requests may end as well.
	if ahead := a.queue.Ahead(req.Urgency); ahead > 0 {
		if wait, known := a.returns.TimeFor(now, ahead); known && wait > left {
			return nil, causeLate
		}
	}
	decision := a.queue.Wait(req, maxWaiting)
	if decision.Outcome == limiter.Refused {
		return nil, causeQueueLong
	}
	w := &waitingCall{call: c, done: make(chan struct{})}
	a.waiters[decision.Ticket] = w
	return w, ""
}

// waitLimit returns how long a call may wait. A less urgent call waits no longer than more
// urgent ones of the same contention: it would get the room that they were refused.
func (a *admission) waitLimit(c *call) time.Duration {
	limit, priority := time.Duration(waitShare*float64(c.route.TargetLatency)), c.priority()
	if shortest, ok := a.waitLimits[priority]; (!ok || limit < shortest) && (ok || len(a.waitLimits) < maxWaitLimits) {
		a.waitLimits[priority] = limit
	}
	for other, shortest := range a.waitLimits {
		if other < priority {
			limit = min(limit, shortest)
		}
	}
	return limit
}

// dispatch gives the upstreams that have room to waiting calls. The lock must be held.
func (st *state) dispatch(now time.Time, deployment string) {
	a, ok := st.admissions[deployment]
	if !ok || len(a.waiters) == 0 {
		return
	}
	a.dispatchedAt = now
	// failed are the needs for which no upstream at all has room; calls that need as much are
	// not tried one by one.
	var failed []limiter.Need
	expired := a.queue.Dispatch(now, func(ticket limiter.Ticket) bool {
		w := a.waiters[ticket]
		need := w.call.need()
		if slices.ContainsFunc(failed, func(n limiter.Need) bool { return n.Covers(need) }) {
			return false
		}
		full, room := st.fullUpstreams(now, w.call, a)
		if !room {
			if len(w.call.exclude) == 0 && w.call.domains == nil {
				failed = append(failed, need)
			}
			return false
		}
		if w.upstream, w.picked = st.pick(now, w.call, full); w.picked {
			// The next one in the queue must not take the same room. The waiting call gives
			// this load back when it begins its attempt.
			st.router.AdjustLoad(w.upstream.ID, 1)
		}
		a.leave(ticket)
		return true
	})
	for _, ticket := range expired {
		a.waiters[ticket].expired = true
		a.leave(ticket)
	}
}

// redispatch does what dispatch does unless that was done within half a dispatchInterval: the
// waiting calls need not all do it.
func (st *state) redispatch(now time.Time, deployment string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if a, ok := st.admissions[deployment]; ok && now.Sub(a.dispatchedAt) >= dispatchInterval/2 {
		st.dispatch(now, deployment)
	}
}

// leave tells a waiting call that it has left the queue.
func (a *admission) leave(ticket limiter.Ticket) {
	close(a.waiters[ticket].done)
	delete(a.waiters, ticket)
}

// awaitRoom waits until a queued call gets an upstream or may wait no longer.
func (g *Gateway) awaitRoom(ctx context.Context, c *call, w *waitingCall) (Upstream, *judge.Refusal) {
	g.metrics.Count("admission_waits")
	began := g.cfg.Now()
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for waiting := true; waiting; {
		select {
		case <-w.done:
			waiting = false
		case <-ctx.Done():
			waiting = false
		case <-ticker.C:
			g.state.redispatch(g.cfg.Now(), c.deployment)
		}
	}
	g.state.leaveQueue(w)
	c.waited += g.cfg.Now().Sub(began)
	if ctx.Err() != nil {
		return Upstream{}, g.refuseEnded(ctx, c, &failure{verdict: judge.NotRun})
	}
	if w.expired {
		return g.chooseAfterWait(c)
	}
	if !w.picked {
		return Upstream{}, g.refuseNoUpstream(c)
	}
	return w.upstream, nil
}

// leaveQueue removes a call from the queue if it is still there, and gives the load back that
// dispatch added for it.
func (st *state) leaveQueue(w *waitingCall) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if w.picked {
		st.router.AdjustLoad(w.upstream.ID, -1)
		return
	}
	a := st.admissions[w.call.deployment]
	for ticket, other := range a.waiters {
		if other == w {
			a.queue.Cancel(ticket)
			delete(a.waiters, ticket)
			return
		}
	}
}

// chooseAfterWait picks an upstream for a call that may wait no longer. What was known of the
// upstreams may have become too old meanwhile.
func (g *Gateway) chooseAfterWait(c *call) (Upstream, *judge.Refusal) {
	now := g.cfg.Now()
	st := g.state
	st.mu.Lock()
	full, room := st.fullUpstreams(now, c, st.admissionFor(c.deployment))
	if !room {
		st.mu.Unlock()
		return Upstream{}, g.refuseFull(c, causeWaited)
	}
	u, ok := st.pick(now, c, full)
	st.mu.Unlock()
	if !ok {
		return Upstream{}, g.refuseNoUpstream(c)
	}
	return u, nil
}

// refuseFull returns the refusal of a call that no upstream has room for in time.
func (g *Gateway) refuseFull(c *call, cause refusalCause) *judge.Refusal {
	g.metrics.Count("admission_refused_" + string(cause))
	return judge.Refuse(judge.CodeNoUpstream, judge.NotRun, "all upstreams of "+c.deployment+" are full ("+string(cause)+")").WithRetryAfter(g.retryAfter(c))
}

// logContention logs that all upstreams of a deployment that may get a call are full. The lock
// must be held.
func (st *state) logContention(now time.Time, deployment string, a *admission, full int) {
	if now.Sub(a.loggedAt) < contentionLogInterval {
		return
	}
	a.loggedAt = now
	age, _ := a.estimator.Age(now)
	st.log.Info().Str("event", "upstreams_full").Str("deployment", deployment).Int("full", full).Int("waiting", len(a.waiters)).Dur("age", age).Send()
}

// recordRoomRefusal records that an upstream refused an attempt of a call for want of room.
// The lock must be held.
func (st *state) recordRoomRefusal(now time.Time, c *call, u Upstream) {
	a := st.admissionFor(c.deployment)
	if a == nil {
		return
	}
	if !a.estimator.Active(now) && len(a.waiters) == 0 {
		// What organisations used in an earlier contention counts no longer.
		a.queue = limiter.Limiter{}
		clear(a.waitLimits)
	}
	st.contended.Store(true)
	a.estimator.RecordRefusal(now, u.ID, c.need(), st.loadOf(now, u.ID))
}

// recordAcceptance records that an upstream accepted an attempt of a call.
func (g *Gateway) recordAcceptance(c *call, u Upstream, sentAt time.Time) {
	st := g.state
	if !st.contended.Load() {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.admissionFor(c.deployment).estimator.RecordAcceptance(u.ID, sentAt, c.need())
	now, contended := g.cfg.Now(), false
	for _, a := range st.admissions {
		contended = contended || a.estimator.Active(now)
	}
	st.contended.Store(contended)
}

// recordCompletion records that a call has its complete response.
func (g *Gateway) recordCompletion(c *call) {
	if !g.cfg.AdmissionControl {
		return
	}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.admissionFor(c.deployment).returns.RecordCompletion(g.cfg.Now())
}

// mayTryAgain reports whether an upstream that has refused a call for want of room may get it
// again later, as it is known to be full until then.
func (g *Gateway) mayTryAgain(c *call, u Upstream, f *failure) bool {
	if !g.cfg.AdmissionControl || !f.refusedForRoom() || !c.mayWait() {
		return false
	}
	now := g.cfg.Now()
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.admissionFor(c.deployment).estimator.Full(now, u.ID, c.need(), st.loadOf(now, u.ID))
}

// refusedForRoom reports whether the upstream has refused the request as it takes no more.
func (f *failure) refusedForRoom() bool {
	return f.verdict == judge.NotRun && f.busy && !f.unsent
}

// returnTime returns the time after which a caller that is refused now is asked to come back,
// and false if nothing is known of the capacity that is left. Returns are spread over that
// capacity, the most urgent first. The lock must be held.
func (st *state) returnTime(now time.Time, c *call) (time.Duration, bool) {
	a := st.admissionFor(c.deployment)
	if a == nil || !a.estimator.Active(now) {
		return 0, false
	}
	wait, known := a.returns.Expect(now, c.priority())
	if !known {
		return 0, false
	}
	// A caller comes back after the longest time that it honours if it is asked for more.
	// Those that would come back later are spread over the second half of that time.
	longest := max(minRetrySpread, time.Duration(returnShare*float64(c.deadline.Sub(now))))
	if wait > longest {
		return longest/2 + time.Duration(st.random.Int64N(int64(longest/2)+1)), true
	}
	return wait + time.Duration(st.random.Int64N(int64(wait/4)+1)), true
}

// updateAdmissionGauges updates the gauges of the admission control. The lock must be held.
func (g *Gateway) updateAdmissionGauges(now time.Time) {
	for deployment, a := range g.state.admissions {
		g.metrics.Gauge("admission_waiting_"+deployment, int64(len(a.waiters)))
		age, known := a.estimator.Age(now)
		if !known {
			age = 0
		}
		g.metrics.Gauge("admission_age_ms_"+deployment, age.Milliseconds())
	}
}
