package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenahitch/galenahitch/internal/pooler"
	"github.com/galenahitch/galenahitch/internal/rationer"
	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/predictor"
	"github.com/galenahitch/galenahitch/pkg/prefixer"
	"github.com/galenahitch/galenahitch/pkg/resolver"
	"github.com/galenahitch/galenahitch/pkg/router"
	"github.com/galenahitch/galenahitch/pkg/throttler"
)

const (
	// maxSends limits how many upstreams one request is sent to, including those
	// that refuse it.
	maxSends = 4
	// quotaReserve is the share of a quota's burst that the least urgent
	// requests leave for more urgent ones.
	quotaReserve = 0.5
	// minRetrySpread is the shortest time over which the retries of callers
	// that a quota refused are spread.
	minRetrySpread = 50 * time.Millisecond
	// promptTokensPerLoad is the number of prompt tokens whose prefill delays
	// an engine's other requests as much as one more running request does.
	promptTokensPerLoad = 1500.0
	// unreachableBackoff is how long no requests are sent to an upstream that
	// accepted no connection.
	unreachableBackoff = time.Second
)

// call is the state of one caller's request. It belongs to the goroutine that
// serves the request.
type call struct {
	request Request
	body    []byte
	// bodyMemory is the memory of the body.
	bodyMemory *rationer.SharedRation
	// fingerprint is the same for all requests with the same content, which a
	// caller may repeat under new IDs.
	fingerprint isolator.Fingerprint
	// parts are those of the prompt that other requests may share.
	parts    []isolator.Part
	route    resolver.Route
	org      *resolver.Organisation
	resolver *resolver.Resolver
	// configAge is the time since the configuration was confirmed when the call arrived, and
	// configBehind that since a peer is known to have a newer one, zero if none has.
	configAge    time.Duration
	configBehind time.Duration
	arrived      time.Time
	deadline     time.Time

	deployment string
	// domains are the failure domains whose upstreams may get the request; nil means all.
	domains map[string]bool
	// prefix is the hash of the prompt part that the request shares with
	// others. It is computed once, before the first attempt: a retry must not
	// count as a second request with the same prompt.
	prefix         uint64
	prefixComputed bool
	// sharedTokens is the number of tokens up to that part, prompt all parts.
	sharedTokens int
	prompt       []prefixer.Part
	quotaCost    float64
	// sends counts the upstreams to which the request was sent, runs those that
	// may have run it.
	sends   int
	runs    int
	exclude []string
	// waitUntil is how long the call may wait for an upstream with room, zero before it has
	// waited. waited is how long it has.
	waitUntil time.Time
	waited    time.Duration

	upstream Upstream
	// attemptAt is when the current attempt began, listAge the age of the list of upstreams
	// then.
	attemptAt time.Time
	listAge   time.Duration
	// loadAtStart is the load of the upstream before the request was sent to it, slots the
	// number of requests that it runs at once. prediction is what was expected of it then.
	loadAtStart float64
	slots       int
	prediction  predictor.Prediction
	// heldTokens are those of the prompt that the upstream probably held then.
	heldTokens float64
	// lastEventAt is when the last event of the current attempt arrived, zero if the next
	// pause must not be measured.
	lastEventAt      time.Time
	status           int
	timeToFirstEvent time.Duration
	// answeredAt is when the first event of the current attempt's response arrived, or its
	// head before that. survived reports that the upstream has survived it.
	answeredAt time.Time
	hasEvents  bool
	survived   bool
	// attemptLatency is the time to the first event or the whole response of
	// the current attempt.
	attemptLatency time.Duration
	// pauses are those between the first events of the current attempt.
	pauses mover.Pauses
	// framing is that of the current attempt's response, empty without one.
	// receivedBytes is the size of the part of its body that was received, and
	// partialEventBytes the size of an incomplete event at the end of that.
	framing           pooler.Framing
	receivedBytes     int64
	partialEventBytes int
	// responseStarted reports that part of a response was sent to the caller.
	// lastEventID is the id of the last stream event that was sent with one.
	// notResumable reports that an event without an id was sent after it, or part of a
	// response that is no stream.
	responseStarted bool
	lastEventID     string
	// resuming reports that the current attempt resumes the stream and no event of it has
	// arrived.
	resuming     bool
	notResumable bool
	// isSuspect reports that the current attempt is one of a suspect request, or of one
	// with a suspect part, which is suspect.
	isSuspect bool
	suspect   isolator.Fingerprint
	// moved is the run with which the current attempt goes on, nil if it begins anew.
	moved        *movedRun
	usageCounted bool
	disconnected bool
	logged       bool
}

// failure describes an attempt without a complete response.
type failure struct {
	verdict judge.Verdict
	// unsent reports that the upstream received nothing of the request.
	unsent bool
	// connectionBroke reports that the connection broke before the end of the
	// response.
	connectionBroke bool
	// busy reports that the upstream may be healthy but accepts no more
	// requests, or no more from this entry, or that this entry has no memory for its
	// response.
	busy bool
	// misdirected reports that another upstream now has the address.
	misdirected bool
	// retryCharged reports that the retry was already charged to the budget.
	retryCharged bool
	// standby looks for an upstream that takes the request over, nil if nothing does.
	standby *standby
	// moved is the run, if its KV cache was moved so that it can go on elsewhere.
	moved *movedRun
	cause error
}

// forward sends a call to upstreams until one attempt succeeds or no other is
// allowed. It returns nil once the caller has the complete response, and a
// refusal otherwise.
func (g *Gateway) forward(parent context.Context, w http.ResponseWriter, c *call) *judge.Refusal {
	if refusal := g.refuseQuarantined(c); refusal != nil {
		return refusal
	}
	if refusal := g.admit(c); refusal != nil {
		return refusal
	}
	defer g.refundQuota(c)
	ctx, cancel := g.callContext(parent, c)
	defer cancel()
	var response *upstreamResponse
	for {
		if response == nil {
			upstream, refusal := g.awaitUpstream(ctx, c)
			if refusal != nil {
				return refusal
			}
			response = g.begin(ctx, c, upstream)
		}
		f := g.attempt(ctx, w, c, response)
		if f == nil {
			g.recordCompletion(c)
			return nil
		}
		if response = g.continueMoved(ctx, c, f); response != nil {
			continue
		}
		upstream := c.upstream
		probed := g.recordAttemptFailure(ctx, c, upstream, f)
		response = f.standby.await(ctx, c)
		if ctx.Err() != nil || c.disconnected {
			if response != nil {
				response.close(c)
				c.runs++
			}
			return g.refuseEnded(ctx, c, f)
		}
		if response != nil {
			c.exclude = append(c.exclude, upstream.ID)
			continue
		}
		if !c.allowsRetry(f) {
			return g.refuseFailed(c, f)
		}
		g.awaitProbe(ctx, c, probed)
		if f.verdict != judge.NotRun && g.hasSuspectPart(c) {
			return g.refuseFailed(c, f)
		}
		if refusal := g.refuseQuarantined(c); refusal != nil {
			return refusal
		}
		// The budget does not count attempts of which the upstream received nothing.
		if !f.unsent && !f.retryCharged && !g.chargeRetry(c.request.ID, c.deployment) {
			return g.refuseFailed(c, f)
		}
		if !g.mayTryAgain(c, upstream, f) {
			c.exclude = append(c.exclude, upstream.ID)
		}
		g.metrics.Count("retries")
	}
}

// admit charges the cost of a call to the quota of its organisation.
func (g *Gateway) admit(c *call) *judge.Refusal {
	now := g.cfg.Now()
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	c.deployment = c.route.PickDeployment(st.random.Float64())
	if c.org == nil {
		return nil
	}
	c.quotaCost = c.org.Cost(c.request.PromptTokens + c.request.MaxResponseTokens)
	limit := throttler.Limit{Rate: c.org.Rate, Burst: c.org.Burst}
	ok, wait := st.throttler.Allow(now, c.org.Name, limit, throttler.Request{Cost: c.quotaCost, Reserve: c.resolver.RelativePriority(c.route) * quotaReserve})
	if ok {
		return nil
	}
	c.quotaCost = 0
	refusal := judge.Refuse(judge.CodeOverloaded, judge.NotRun, "the quota of "+c.org.Name+" is used up")
	spread := max(minRetrySpread, st.throttler.RetrySpread(now, c.org.Name, limit))
	return refusal.WithRetryAfter(wait + time.Duration(st.random.Int64N(int64(spread))))
}

// refundQuota refunds the cost of a call that no upstream ran.
func (g *Gateway) refundQuota(c *call) {
	if c.runs > 0 || c.quotaCost == 0 {
		return
	}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.throttler.Refund(c.org.Name, c.quotaCost)
}

// chooseUpstream picks the upstream of the next attempt.
func (g *Gateway) chooseUpstream(c *call) (Upstream, bool) {
	now := g.cfg.Now()
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.pick(now, c, nil)
}

// pick picks the upstream of the next attempt among those that are not known to be full. The
// lock must be held.
func (st *state) pick(now time.Time, c *call, full []string) (Upstream, bool) {
	query := router.Request{Deployment: c.deployment, Exclude: c.exclude, Domains: c.domains}
	if len(full) > 0 {
		query.Exclude = slices.Concat(c.exclude, full)
	}
	if !c.prefixComputed {
		c.prefixComputed = true
		if st.cfg.PredictTimes {
			c.prompt = prefixParts(c.request.PromptParts)
		}
		if part := st.promptHistory.sharedPart(c.request.PromptParts); part != "" {
			c.prefix, c.sharedTokens = xxhash.Sum64String(part), sharedTokens(c.request.PromptParts, part)
		}
	}
	query.PrefixHash, query.Work = c.prefix, 1+c.promptLoad()
	if c.prefix != 0 && st.cfg.WeighPrefixes && st.indexesPrefixes(c) {
		query.Parts, query.SharedTokens = c.prompt, c.sharedTokens
	}
	st.restrictVersion(now, c, &query)
	picked, ok := st.pickForSuspect(now, c, query)
	if !ok {
		picked, ok = st.pickApart(now, query)
	}
	if !ok {
		return Upstream{}, false
	}
	u, ok := st.upstreamByID[picked.ID]
	return u, ok
}

// attempt sends a call to an upstream, unless its response has begun, and forwards the
// response. It returns nil once the caller has the complete response.
func (g *Gateway) attempt(ctx context.Context, w http.ResponseWriter, c *call, r *upstreamResponse) *failure {
	r.silence = g.watchSilence(ctx, c, r.cancel)
	defer r.close(c)
	defer r.silence.stop()
	var f *failure
	if r.response == nil {
		f = g.send(c, r)
	}
	if f == nil {
		f = g.forwardResponse(r.ctx, w, c, r)
	}
	if f != nil {
		f.standby = r.silence.release()
		f.moved = r.movable.await(ctx, c)
	}
	return f
}

// begin begins an attempt of a call. It has to be closed.
func (g *Gateway) begin(ctx context.Context, c *call, u Upstream) *upstreamResponse {
	now := g.cfg.Now()
	c.reset(u, now)
	r := &upstreamResponse{g: g, upstream: u, sentAt: now, load: c.promptLoad()}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	g.beginAttempt(now, c, r.load)
	return r
}

// promptLoad returns the load of the prefill of the call's prompt, in requests.
func (c *call) promptLoad() float64 { return float64(c.request.PromptTokens) / promptTokensPerLoad }

// reset forgets what is known of the last attempt.
func (c *call) reset(u Upstream, now time.Time) {
	c.upstream, c.attemptAt, c.attemptLatency = u, now, 0
	c.framing, c.receivedBytes, c.partialEventBytes = "", 0, 0
	c.answeredAt, c.hasEvents, c.survived = time.Time{}, false, false
	c.pauses, c.lastEventAt = mover.Pauses{}, time.Time{}
	c.prediction, c.slots, c.heldTokens = predictor.Prediction{}, 0, 0
	c.resuming = c.responseStarted && c.lastEventID != ""
}

// beginWith makes the current attempt of a copy that of the call.
func (c *call) beginWith(fork *call) {
	c.reset(fork.upstream, fork.attemptAt)
	c.framing, c.answeredAt = fork.framing, fork.answeredAt
	c.listAge, c.loadAtStart = fork.listAge, fork.loadAtStart
	c.slots, c.prediction, c.heldTokens = fork.slots, fork.prediction, fork.heldTokens
	c.isSuspect, c.suspect = fork.isSuspect, fork.suspect
}

// send sends the request of an attempt and receives the head of its response.
func (g *Gateway) send(c *call, r *upstreamResponse) *failure {
	u := r.upstream
	header := c.request.Header.Clone()
	attempt := Attempt{Upstream: u.Name, TimeLeft: c.deadline.Sub(r.sentAt), Priority: c.priority(), LastEventID: c.resumeFrom()}
	if c.org != nil {
		attempt.Organisation = c.org.Name
	}
	if c.moved != nil {
		attempt.CacheSource, attempt.CacheHandle = c.moved.source.Address, c.moved.handle
	}
	g.cfg.Codec.SetAttempt(header, attempt)
	response, err := g.pool.Do(r.ctx, u.Address, pooler.Request{
		ID: c.request.ID, Method: c.request.Method, Target: c.request.Target, Host: c.request.Host, Header: header, Body: c.body, BodyMemory: c.bodyMemory,
		MaySend: func() bool { return c.mayContinueAt(g.cfg.Now(), u.ID) || g.maySend(u.ID) },
		OnHead:  func(status int, header http.Header) { g.recordSignals(u.ID, g.cfg.Codec.Response(status, header)) },
	})
	if err != nil {
		verdict := judge.VerdictOf(err)
		return &failure{
			verdict: verdict, unsent: verdict == judge.NotRun, connectionBroke: verdict != judge.NotRun && r.ctx.Err() == nil,
			busy: pooler.IsFull(err) || pooler.IsWithdrawn(err) || pooler.IsOutOfMemory(err), cause: err,
		}
	}
	r.response, r.body, r.info = response, response, g.cfg.Codec.Response(response.Status, response.Header)
	r.silence.update(func() { c.framing, c.answeredAt = response.Framing, g.cfg.Now() })
	if r.info.Verdict == judge.NotRun {
		return &failure{
			verdict: judge.NotRun, busy: !r.info.Misdirected, misdirected: r.info.Misdirected,
			cause: judge.Errorf(judge.NotRun, "the upstream refused it with status %d", response.Status),
		}
	}
	g.recordAccepted(c)
	g.recordAcceptance(c, u, r.sentAt)
	return nil
}

// resumeFrom returns the id of the last event that the caller received.
func (c *call) resumeFrom() string {
	if c.lastEventID != "" {
		return c.lastEventID
	}
	return c.request.LastEventID
}

// beginAttempt counts the attempt in the load of the upstream and in the
// demand.
func (g *Gateway) beginAttempt(now time.Time, c *call, load float64) {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	c.listAge = g.listAge()
	st.predict(now, c)
	st.router.Begin(c.upstream.ID)
	st.router.AdjustLoad(c.upstream.ID, load)
	c.isSuspect = st.beginSuspect(now, c)
	d := st.demandFor(c.deployment)
	d.Running++
	if c.sends == 0 {
		d.addRequest(now, c.request.PromptTokens)
		if budget, ok := st.retryBudgets[c.deployment]; ok {
			budget.CountRequest(now)
		}
	}
	c.sends++
}

func (g *Gateway) adjustLoad(id string, change float64) {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.router.AdjustLoad(id, change)
}

// endAttempt removes the attempt from the load of the upstream and from the
// demand.
func (g *Gateway) endAttempt(c *call) {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.router.End(c.upstream.ID)
	if c.isSuspect {
		g.state.endSuspect(c)
	}
	g.state.demandFor(c.deployment).Running--
	if g.cfg.AdmissionControl {
		g.state.dispatch(g.cfg.Now(), c.deployment)
	}
}

// recordAttemptFailure records a failed attempt. The result is closed at the end of the
// probe of its upstream, if there is one.
func (g *Gateway) recordAttemptFailure(ctx context.Context, c *call, u Upstream, f *failure) <-chan struct{} {
	g.recordFailure(ctx, c, u, f)
	if f.verdict != judge.MayHaveRun {
		return nil
	}
	return g.recordBroken(ctx, c, u, f)
}

// recordFailure records a failed attempt for its upstream.
func (g *Gateway) recordFailure(ctx context.Context, c *call, u Upstream, f *failure) {
	if f.verdict != judge.NotRun {
		c.runs++
	}
	g.metrics.Count("attempts_failed")
	now := g.cfg.Now()
	st := g.state
	st.mu.Lock()
	if f.refusedForRoom() {
		st.recordRoomRefusal(now, c, u)
	}
	switch {
	case f.misdirected:
		st.recordSignals(now, u.ID, router.Signals{Leaving: true})
	case c.disconnected || f.busy || ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline):
		// Neither a disconnected caller nor a full queue is the upstream's fault.
	case f.unsent:
		st.connectFailedAt[u.FailureDomain] = now
		st.router.Suspect(u.ID, now.Add(unreachableBackoff))
	default:
		if !st.crashes.isKnown(u.ID, c.attemptAt, now) {
			st.router.RecordFailure(now, u.ID)
		}
		st.recordOutcome(c, u, true, c.attemptLatency)
	}
	st.mu.Unlock()
	g.cfg.Log.Info().Str("event", "attempt_failed").Str("request_id", c.request.ID).Str("upstream", u.ID).
		Str("verdict", string(f.verdict)).Bool("busy", f.busy).Bool("unsent", f.unsent).Int("sends", c.sends).Int("runs", c.runs).
		Str("fingerprint", c.fingerprint.String()).Str("parts", describeParts(c.request.PromptParts)).Bool("suspect", c.isSuspect).Dur("took", now.Sub(c.attemptAt)).Dur("list_age", c.listAge).
		Uint64("row_version", u.RowVersion.Number()).
		Str("framing", string(c.framing)).Int64("received", c.receivedBytes).Int("partial", c.partialEventBytes).Err(f.cause).Send()
}

// allowsRetry reports whether the limits of the call and its route allow another attempt
// after one that failed.
func (c *call) allowsRetry(f *failure) bool {
	if c.sends >= maxSends || c.notResumable {
		return false
	}
	return f.verdict == judge.NotRun || c.route.Retryable() && c.runs < c.route.MaxAttempts
}

// chargeRerun reports whether a request that an upstream has run may be run
// again, and charges the retry to the budget if so.
func (g *Gateway) chargeRerun(c *call) bool {
	return c.mayRerun() && g.hasOtherUpstream(c, c.withUpstreamExcluded()) && g.chargeRetry(c.request.ID, c.deployment)
}

// mayRerun reports whether the limits of the call and its route allow another
// attempt after the current one has run.
func (c *call) mayRerun() bool {
	return c.sends < maxSends && c.route.Retryable() && c.runs+1 < c.route.MaxAttempts
}

// withUpstreamExcluded returns the excluded upstreams and that of the current attempt.
func (c *call) withUpstreamExcluded() []string {
	return append(slices.Clone(c.exclude), c.upstream.ID)
}

// hasOtherUpstream reports whether a call has an available upstream that is not
// excluded.
func (g *Gateway) hasOtherUpstream(c *call, exclude []string) bool {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	query := router.Request{Deployment: c.deployment, Exclude: exclude, Domains: c.domains, AvoidVersions: g.state.withdrawnVersions(c.deployment)}
	return len(g.state.router.Eligible(g.cfg.Now(), query)) > 0
}

// refuseNoUpstream returns the refusal of a call for which there is no
// upstream.
func (g *Gateway) refuseNoUpstream(c *call) *judge.Refusal {
	if c.runs > 0 {
		return judge.Refuse(judge.CodeUpstreamFailed, judge.MayHaveRun, "no other upstream takes it")
	}
	return judge.Refuse(judge.CodeNoUpstream, judge.NotRun, "no upstream of "+c.deployment+" takes work").WithRetryAfter(g.retryAfter(c))
}

// refuseEnded returns the refusal of a call that ended early: its deadline
// passed, its caller disconnected or the stopping process aborted it.
func (g *Gateway) refuseEnded(ctx context.Context, c *call, f *failure) *judge.Refusal {
	cause := context.Cause(ctx)
	if cause == nil || errors.Is(cause, errDisconnected) {
		c.disconnected, cause = true, errDisconnected
	}
	if c.runs == 0 {
		refusal := judge.Refuse(judge.CodeDeadline, judge.NotRun, cause.Error()).WithRetryAfter(g.state.jitter(retryDelay))
		refusal.Status = http.StatusServiceUnavailable
		return refusal
	}
	return judge.Refuse(judge.CodeDeadline, f.verdict, cause.Error())
}

// refuseFailed returns the refusal of a call whose last attempt failed.
func (g *Gateway) refuseFailed(c *call, f *failure) *judge.Refusal {
	if c.runs == 0 {
		return judge.Refuse(judge.CodeNoUpstream, judge.NotRun, f.cause.Error()).WithRetryAfter(g.retryAfter(c))
	}
	return judge.Refuse(judge.CodeUpstreamFailed, judge.MayHaveRun, f.cause.Error())
}
