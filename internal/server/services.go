package server

import (
	"context"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/waiter"
	"github.com/galenahitch/galenahitch/pkg/claimer"
	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/planner"
	"github.com/galenahitch/galenahitch/pkg/retrier"
	"github.com/galenahitch/galenahitch/pkg/router"
)

// serviceCall is one request to a plain service.
type serviceCall struct {
	callerRequest
	route         planner.Route
	upstreamCall  dispatcher.Call
	digest        string
	fingerprint   isolator.Fingerprint
	deadline      time.Time
	excludedIDs   []string
	attempts      int
	failedVersion string
}

func (s *Server) serveService(c *gin.Context) {
	who, refusal := s.readRequest(c)
	if refusal != nil {
		s.writeRefusal(c, refusal)
		return
	}
	route, ok := who.cfg.Route(c.Param("route"))
	d, _ := who.cfg.Deployment(route.Deployment)
	if !ok || d.Kind != planner.KindService {
		s.writeRefusal(c, judge.Refuse(judge.CodeUnknownRoute, judge.NotRun, "there is no such service").WithRequestID(who.requestID))
		return
	}
	path := route.Name + c.Param("path")
	if query := c.Request.URL.RawQuery; query != "" {
		path += "?" + query
	}
	if strings.Contains(path, "..") {
		s.writeRefusal(c, judge.Refuse(judge.CodeBadRequest, judge.NotRun, "the path may not contain ..").WithRequestID(who.requestID))
		return
	}
	call := &serviceCall{
		callerRequest: who,
		route:         route,
		digest:        claimer.Digest([]byte(c.Request.Method), []byte(path), who.body),
		fingerprint:   isolator.FingerprintOf(who.org.Name, path, who.body),
		deadline:      s.now().Add(who.timeoutFor(route)),
		upstreamCall: dispatcher.Call{
			Attempt:        dispatcher.Attempt{RequestID: who.requestID, Route: route.Name, Body: who.body},
			Method:         c.Request.Method,
			Path:           path,
			ContentType:    c.GetHeader("Content-Type"),
			IdempotencyKey: who.idempotencyKey,
			NewConnection:  !route.Idempotent,
		},
	}
	reply, refusal := s.serveCall(c.Request.Context(), call)
	if refusal != nil {
		s.writeRefusal(c, refusal.WithRequestID(who.requestID))
		return
	}
	c.Header(headerRequestID, who.requestID)
	c.Header(headerVerdict, string(judge.Ran))
	setWriteDeadline(c, s.now())
	c.Data(reply.Status, reply.ContentType, reply.Body)
}

// serveCall admits a call and sees it through. A call that may not be repeated
// goes on when its caller hangs up, so that its outcome is recorded.
func (s *Server) serveCall(ctx context.Context, call *serviceCall) (dispatcher.Response, *judge.Refusal) {
	if s.crashStatus(call.fingerprint) == isolator.Confirmed {
		return dispatcher.Response{}, judge.Refuse(judge.CodeCrashesUpstreams, judge.NotRun, "this request crashes the upstreams that run it")
	}
	now := s.now()
	if refusal := s.state.admit(ctx, now, call.org, call.route, now.Add(call.admissionTimeout(call.route))); refusal != nil {
		return dispatcher.Response{}, refusal
	}
	defer func() { s.state.release(s.now(), call.org, call.route, s.now().Sub(now)) }()
	limit := call.deadline.Sub(s.now())
	if call.route.Idempotent {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return s.callWithRetries(ctx, call)
	}
	ctx, cancel := s.detachedContext(limit)
	defer cancel()
	if call.idempotencyKey == "" {
		return s.callWithRetries(ctx, call)
	}
	return s.callAtMostOnce(ctx, call)
}

// callWithRetries makes attempts as the verdicts allow: a call that may not be
// repeated gets another only if the last one is known not to have run.
func (s *Server) callWithRetries(ctx context.Context, call *serviceCall) (dispatcher.Response, *judge.Refusal) {
	for {
		target, version, ok := s.chooseCallUpstream(call)
		if !ok {
			return dispatcher.Response{}, judge.Refuse(judge.CodeNoUpstream, judge.NotRun, "no upstream of "+call.route.Deployment+" takes work").WithRetryAfter(s.jitter(time.Second))
		}
		reply, err := s.attemptCall(ctx, call, target, version)
		if err == nil {
			s.recordCallSuccess(call, target)
			return reply, nil
		}
		if canceled(ctx) {
			return dispatcher.Response{}, judge.Refuse(judge.CodeDeadline, judge.VerdictOf(err), "the request was ended")
		}
		decision := s.handleCallFailure(ctx, call, target, err)
		if !decision.Retry {
			return dispatcher.Response{}, judge.Refuse(decision.Code, judge.VerdictOf(err), err.Error()).WithRetryAfter(decision.RetryAfter)
		}
		if !waiter.Pause(ctx, decision.Backoff) {
			return dispatcher.Response{}, judge.Refuse(judge.CodeDeadline, judge.VerdictOf(err), "the deadline passed").WithRetryAfter(decision.Backoff)
		}
	}
}

func (s *Server) chooseCallUpstream(call *serviceCall) (dispatcher.Target, string, bool) {
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	d, ok := s.state.cfg.Deployment(call.route.Deployment)
	if !ok {
		return dispatcher.Target{}, "", false
	}
	ask := router.Request{Deployment: d.Name, Version: s.state.chooseVersion(call.requestID, d, call.failedVersion), Exclude: call.excludedIDs}
	u, ok := s.state.pickUpstream(ask, func(ask router.Request) (router.Upstream, bool) { return s.state.router.Pick(now, ask) })
	return dispatcher.Target{ID: u.ID, Address: u.Address}, u.Version, ok
}

// attemptCall makes one attempt and tells the comparison of versions of it.
func (s *Server) attemptCall(ctx context.Context, call *serviceCall, target dispatcher.Target, version string) (dispatcher.Response, error) {
	call.attempts++
	call.upstreamCall.Number = call.attempts
	s.addInFlight(call.route.Deployment, target, version)
	began := s.now()
	reply, err := s.callWithProbes(ctx, call, target)
	s.removeInFlight(call.route.Deployment, target, version)
	if err != nil {
		call.failedVersion = version
	}
	if err != nil && (s.isExempt(target) || canceled(ctx)) {
		return reply, err
	}
	back, tripped := s.state.recordOutcome(s.now(), attemptOutcome{
		deployment: call.route.Deployment, route: call.route.Name, version: version,
		failed: err != nil, firstToken: s.now().Sub(began), firstTokenTarget: call.route.AnswerWithin(),
	})
	if tripped {
		s.publishRollBack(back)
	}
	return reply, err
}

// callProbeInterval is the time between questions about a call that has no answer yet.
const callProbeInterval = time.Second

// callWithProbes makes a call and asks the upstream about it, on new connections,
// while there is no answer. Two findings in a row that no answer will come end
// it: one alone may be an answer on its way.
func (s *Server) callWithProbes(ctx context.Context, call *serviceCall, target dispatcher.Target) (dispatcher.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		reply dispatcher.Response
		err   error
	}
	answered := make(chan result, 1)
	go func() {
		reply, err := s.cfg.Upstreams.Call(ctx, target, call.upstreamCall)
		answered <- result{reply, err}
	}()
	ticker := time.NewTicker(callProbeInterval)
	defer ticker.Stop()
	hopeless := 0
	for {
		select {
		case r := <-answered:
			return r.reply, r.err
		case <-ticker.C:
		}
		progress, err := s.cfg.Upstreams.Progress(ctx, target, call.requestID, call.attempts)
		// The next look is a whole interval after this one, however long it took:
		// an answer on its way has that time to arrive.
		ticker.Reset(callProbeInterval)
		if err == nil && progress.Found && !progress.Done {
			hopeless = 0
			continue
		}
		hopeless++
		if hopeless > 1 {
			// An answer that came during the look counts before what was found.
			cancel()
			if r := <-answered; r.err == nil {
				return r.reply, nil
			}
			s.metrics.Count("silent_connections")
			return dispatcher.Response{}, judge.Errorf(judge.MayHaveRun, "%s does not answer the call", target.ID)
		}
	}
}

func (s *Server) handleCallFailure(ctx context.Context, call *serviceCall, target dispatcher.Target, cause error) retrier.Decision {
	announced := s.isExempt(target)
	if !announced && judge.VerdictOf(cause) == judge.NotRun {
		s.suspect(target.ID)
	}
	if !announced && judge.VerdictOf(cause) != judge.NotRun {
		s.probeAfterCall(ctx, call, target)
	}
	call.excludedIDs = append(call.excludedIDs, target.ID)
	s.recordFailure(target, announced)
	s.cfg.Log.Info().Str("event", "call_failed").Str("request_id", call.requestID).Str("upstream", target.ID).
		Str("verdict", string(judge.VerdictOf(cause))).Err(cause).Send()
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return retrier.Decide(now, s.state.retryBudget(budgetKey{organisation: call.org.Name, route: call.route.Name}), retrier.Failure{
		Verdict: judge.VerdictOf(cause), Idempotent: call.route.Idempotent, Attempts: call.attempts, Deadline: call.deadline, Reclaimed: announced,
	}, s.state.random)
}

// probeAfterCall asks an upstream whether it is alive; if its address refuses
// connections it died, and the call is implicated.
func (s *Server) probeAfterCall(ctx context.Context, call *serviceCall, target dispatcher.Target) {
	found := s.probe(ctx, target, "")
	if found == probeHealthy {
		return
	}
	s.suspect(target.ID)
	if found != probeCrashed {
		return
	}
	s.recordCrash(&request{fingerprint: call.fingerprint}, target.ID, s.now())
}

// recordCallSuccess fills the retry budget.
func (s *Server) recordCallSuccess(call *serviceCall, target dispatcher.Target) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.router.RecordSuccess(target.ID)
	s.state.retryBudget(budgetKey{organisation: call.org.Name, route: call.route.Name}).RecordSuccess()
}
