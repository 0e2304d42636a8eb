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

// serviceCall is one request to a plain service. Its response is not streamed.
type serviceCall struct {
	callerRequest
	route         planner.Route
	upstreamCall  dispatcher.Call
	digest        string
	fingerprint   isolator.Fingerprint
	deadline      time.Time
	excludedIDs   []string
	attempts      int
	attemptAt     time.Time
	failedVersion string
}

func (s *Server) serveService(c *gin.Context) {
	caller, refusal := s.readRequest(c)
	if refusal != nil {
		s.writeRefusal(c, refusal)
		return
	}
	route, ok := caller.cfg.Route(c.Param("route"))
	d, _ := caller.cfg.Deployment(route.Deployment)
	if !ok || d.Kind != planner.KindService {
		s.writeRefusal(c, judge.Refuse(judge.CodeUnknownRoute, judge.NotRun, "there is no such service").WithRequestID(caller.requestID))
		return
	}
	path := route.Name + c.Param("path")
	if query := c.Request.URL.RawQuery; query != "" {
		path += "?" + query
	}
	if strings.Contains(path, "..") {
		s.writeRefusal(c, judge.Refuse(judge.CodeBadRequest, judge.NotRun, "the path may not contain ..").WithRequestID(caller.requestID))
		return
	}
	call := &serviceCall{
		callerRequest: caller,
		route:         route,
		digest:        claimer.Digest([]byte(c.Request.Method), []byte(path), caller.body),
		fingerprint:   isolator.FingerprintOf(caller.org.Name, path, caller.body),
		deadline:      s.now().Add(caller.timeoutFor(route)),
		upstreamCall: dispatcher.Call{
			Attempt:        dispatcher.Attempt{RequestID: caller.requestID, Route: route.Name, Body: caller.body},
			Method:         c.Request.Method,
			Path:           path,
			ContentType:    c.GetHeader("Content-Type"),
			IdempotencyKey: caller.idempotencyKey,
			NewConnection:  !route.Idempotent,
		},
	}
	response, refusal := s.serveCall(c.Request.Context(), call)
	if refusal != nil {
		s.writeRefusal(c, refusal.WithRequestID(caller.requestID))
		return
	}
	c.Header(headerRequestID, caller.requestID)
	c.Header(headerVerdict, string(judge.Ran))
	setWriteDeadline(c, s.now())
	c.Data(response.Status, response.ContentType, response.Body)
}

// serveCall admits a call and runs it. A call that is not idempotent continues
// after its client disconnects, so that its outcome is recorded.
func (s *Server) serveCall(ctx context.Context, call *serviceCall) (dispatcher.Response, *judge.Refusal) {
	if refusal := s.refusePoisonCall(call, judge.NotRun); refusal != nil {
		return dispatcher.Response{}, refusal
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

// refusePoisonCall returns a refusal of a call that is confirmed as poison, and nil
// otherwise.
func (s *Server) refusePoisonCall(call *serviceCall, verdict judge.Verdict) *judge.Refusal {
	if s.crashStatus(call.fingerprint) != isolator.Confirmed {
		return nil
	}
	s.logQuarantined(call.requestID, call.fingerprint)
	return judge.Refuse(judge.CodeCrashesUpstreams, verdict, "this request crashes the upstreams that run it")
}

// callWithRetries makes attempts as the verdicts allow: a call that is not
// idempotent is retried only if the last attempt is known not to have run.
func (s *Server) callWithRetries(ctx context.Context, call *serviceCall) (dispatcher.Response, *judge.Refusal) {
	for {
		target, version, ok := s.chooseCallUpstream(call)
		if !ok {
			return dispatcher.Response{}, s.refuseNoUpstream(call.route.Deployment)
		}
		response, err := s.attemptCall(ctx, call, target, version)
		if err == nil {
			s.recordCallSuccess(call, target)
			return response, nil
		}
		if canceled(ctx) {
			return dispatcher.Response{}, judge.Refuse(judge.CodeDeadline, judge.VerdictOf(err), "the request was ended")
		}
		decision := s.handleCallFailure(ctx, call, target, err)
		if refusal := s.refusePoisonCall(call, judge.MayHaveRun); refusal != nil {
			s.spreadUpdate(ctx)
			return dispatcher.Response{}, refusal
		}
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
	req := router.Request{Deployment: d.Name, Version: s.state.chooseVersion(call.requestID, d, call.failedVersion), Exclude: call.excludedIDs}
	u, ok := s.state.pickUpstream(req, func(req router.Request) (router.Upstream, bool) { return s.state.router.Pick(now, req) })
	return dispatcher.Target{ID: u.ID, Address: u.Address}, u.Version, ok
}

// attemptCall makes one attempt and adds its outcome to the comparison of versions,
// unless it was canceled or failed on an upstream that is being reclaimed.
func (s *Server) attemptCall(ctx context.Context, call *serviceCall, target dispatcher.Target, version string) (dispatcher.Response, error) {
	call.attempts++
	call.upstreamCall.Number = call.attempts
	s.addInFlight(call.route.Deployment, target, version)
	start := s.now()
	call.attemptAt = start
	response, err := s.callWithProbes(ctx, call, target)
	s.removeInFlight(call.route.Deployment, target, version)
	if err != nil {
		call.failedVersion = version
	}
	if err != nil && (s.isExempt(target) || canceled(ctx)) {
		return response, err
	}
	move, rolledBack := s.state.recordOutcome(s.now(), attemptOutcome{
		deployment: call.route.Deployment, route: call.route.Name, version: version,
		failed: err != nil, firstToken: s.now().Sub(start), firstTokenTarget: call.route.AnswerWithin(),
	})
	if rolledBack {
		s.publishRollBack(move)
	}
	return response, err
}

// callProbeInterval is the time between progress queries about a call that has no
// response yet.
const callProbeInterval = time.Second

// callWithProbes makes a call and queries the upstream's progress, on new
// connections, until the response arrives. It ends the call after two queries in
// a row that fail or find no running attempt. After only one such query, a
// response may still be in transit.
func (s *Server) callWithProbes(ctx context.Context, call *serviceCall, target dispatcher.Target) (dispatcher.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		response dispatcher.Response
		err      error
	}
	results := make(chan result, 1)
	go func() {
		response, err := s.cfg.Upstreams.Call(ctx, target, call.upstreamCall)
		results <- result{response, err}
	}()
	ticker := time.NewTicker(callProbeInterval)
	defer ticker.Stop()
	missing := 0
	for {
		select {
		case r := <-results:
			return r.response, r.err
		case <-ticker.C:
		}
		if _, waits := s.backoffUntil(s.now(), target.ID); waits {
			continue
		}
		progress, err := s.cfg.Upstreams.Progress(ctx, target, call.requestID, call.attempts)
		// The next query is a whole interval after the end of this one, so that a
		// response in transit has that time to arrive.
		ticker.Reset(callProbeInterval)
		if err == nil && progress.Found && !progress.Done {
			missing = 0
			continue
		}
		missing++
		if missing > 1 {
			// A response that arrived during the query takes precedence.
			cancel()
			if r := <-results; r.err == nil {
				return r.response, nil
			}
			s.metrics.Count("silent_connections")
			return dispatcher.Response{}, judge.Errorf(judge.MayHaveRun, "%s does not answer the call", target.ID)
		}
	}
}

func (s *Server) handleCallFailure(ctx context.Context, call *serviceCall, target dispatcher.Target, cause error) retrier.Decision {
	exempt := s.isExempt(target)
	if !exempt && judge.VerdictOf(cause) == judge.NotRun {
		s.suspect(target.ID)
	}
	crashed := !exempt && judge.VerdictOf(cause) != judge.NotRun && s.probeAfterCall(ctx, call, target)
	call.excludedIDs = append(call.excludedIDs, target.ID)
	s.recordFailure(target, exempt || crashed)
	s.cfg.Log.Info().Str("event", "call_failed").Str("request_id", call.requestID).Str("upstream", target.ID).
		Str("verdict", string(judge.VerdictOf(cause))).Err(cause).Send()
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return retrier.Decide(now, s.state.retryBudget(budgetKey{organisation: call.org.Name, route: call.route.Name}), retrier.Failure{
		Verdict: judge.VerdictOf(cause), Idempotent: call.route.Idempotent, Attempts: call.attempts, Deadline: call.deadline, Reclaimed: exempt,
	}, s.state.random)
}

// probeAfterCall probes an upstream after a failed call. An upstream that is not
// healthy becomes a suspect. If its address refuses connections it has crashed, and
// the call gets a crash record. It reports whether the upstream has crashed.
func (s *Server) probeAfterCall(ctx context.Context, call *serviceCall, target dispatcher.Target) bool {
	endedAt := s.now()
	result := s.probe(ctx, target, "")
	if result == probeHealthy {
		return false
	}
	s.suspect(target.ID)
	if result != probeCrashed {
		return false
	}
	s.recordCrash(nil, isolator.Attempt{Fingerprint: call.fingerprint, Start: call.attemptAt, End: endedAt}, target.ID)
	return true
}

// recordCallSuccess records a success of the upstream and refills the retry budget.
func (s *Server) recordCallSuccess(call *serviceCall, target dispatcher.Target) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.router.RecordSuccess(target.ID)
	s.state.retryBudget(budgetKey{organisation: call.org.Name, route: call.route.Name}).RecordSuccess()
	s.state.isolator.RecordCompletion(s.now(), call.fingerprint)
}
