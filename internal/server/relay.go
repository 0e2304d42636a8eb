package server

import (
	"context"
	"errors"
	"time"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/replayer"
	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/reclaimer"
	"github.com/galenahitch/galenahitch/pkg/retrier"
	"github.com/galenahitch/galenahitch/pkg/router"
)

const (
	// firstProbeDelay is the time without a first token after which the watchdog
	// queries the upstream, minProbeDelay the shortest such time between tokens.
	firstProbeDelay = 2 * time.Second
	minProbeDelay   = 1500 * time.Millisecond
	// suspectDuration is the time for which an upstream that did not respond to a
	// probe, or refused a connection, gets no new requests if there are others.
	suspectDuration = 5 * time.Second
	// noUpstreamRetryDelay is the delay before an admitted run that found no
	// upstream tries again.
	noUpstreamRetryDelay = 100 * time.Millisecond
)

// relay runs attempts on one upstream after another until the response is
// complete, the run is refused, or the run is interrupted for a handoff to a peer.
func (s *Server) relay(ctx context.Context, r *request) {
	start := s.now()
	defer func() {
		if r.admitted {
			r.admitted = false
			s.state.release(s.now(), r.org, r.route, s.now().Sub(start))
		}
		close(r.relayDone)
	}()
	var next interruption
	for {
		if intr := r.takeInterruption(); intr != nil && intr.stopRelay {
			return
		}
		if s.crashStatus(r.fingerprint) == isolator.Confirmed {
			s.logQuarantined(r.id, r.fingerprint)
			// The caller may send the request to another entry next.
			s.spreadUpdate(ctx)
			s.refuseRun(ctx, r, judge.Refuse(judge.CodeCrashesUpstreams, judge.MayHaveRun, "this request crashes the upstreams that run it"))
			return
		}
		next = s.usable(next)
		target, version, ok := s.nextUpstream(r, next)
		if !ok {
			if !s.waitForUpstream(ctx, r) {
				return
			}
			continue
		}
		if !r.transition("dispatch") {
			r.transition("redispatch")
		}
		err := s.attempt(ctx, r, target, version, next.action == reclaimer.MoveKV)
		endedAt := s.now()
		next = interruption{}
		if err == nil {
			r.transition("finish")
			r.buffer.End(replayer.State{Kind: replayer.Done})
			s.endIsolation(r)
			s.recordSuccess(r, target)
			return
		}
		if intr := r.takeInterruption(); intr != nil {
			s.endIsolation(r)
			if intr.stopRelay {
				return
			}
			next = *intr
			s.metrics.Count("streams_moved_" + string(intr.action))
			r.excludeUpstream(target.ID)
			continue
		}
		r.failedVersion = version
		// The isolation lasts until the upstream has been probed. A suspect that
		// started on the upstream earlier would get a crash record for a crash
		// that came before its attempt.
		retry := s.handleFailure(ctx, r, target, endedAt, err)
		s.endIsolation(r)
		if !retry {
			return
		}
	}
}

// nextUpstream returns the upstream that the interruption names, or chooses one.
func (s *Server) nextUpstream(r *request, intr interruption) (dispatcher.Target, string, bool) {
	if intr.nextTarget.ID != "" {
		return intr.nextTarget, intr.nextVersion, true
	}
	return s.chooseUpstream(r)
}

// chooseUpstream chooses the version and the upstream of a run's next attempt.
func (s *Server) chooseUpstream(r *request) (dispatcher.Target, string, bool) {
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	req, ok := s.state.routerRequest(r)
	if !ok {
		return dispatcher.Target{}, "", false
	}
	u, ok := s.state.pickUpstream(req, func(req router.Request) (router.Upstream, bool) {
		switch s.state.isolator.Status(now, r.fingerprint) {
		case isolator.Clear:
			return s.state.router.Pick(now, req)
		case isolator.Suspect:
			return s.state.pickIsolated(now, r, req)
		default:
			return router.Upstream{}, false
		}
	})
	return dispatcher.Target{ID: u.ID, Address: u.Address}, u.Version, ok
}

func (s *state) routerRequest(r *request) (router.Request, bool) {
	d, ok := s.cfg.Deployment(r.route.Deployment)
	if !ok {
		return router.Request{}, false
	}
	version := s.chooseVersion(r.id, d, r.failedVersion)
	return router.Request{Deployment: d.Name, Version: version, PrefixHash: prefixHash(r), Exclude: r.excludedUpstreams()}, true
}

// waitForUpstream waits for noUpstreamRetryDelay before the next choice of an
// upstream. If the deadline would pass in the meantime, it refuses the run and
// returns false.
func (s *Server) waitForUpstream(ctx context.Context, r *request) bool {
	r.clearExclusions()
	if wait, known := s.nextReturn(r.route.Deployment); known && wait > noUpstreamRetryDelay {
		s.refuseRun(ctx, r, s.refuseNoUpstream(r.route.Deployment))
		return false
	}
	if s.now().Add(noUpstreamRetryDelay).After(r.deadline) || ctx.Err() != nil {
		s.refuseRun(ctx, r, judge.Refuse(judge.CodeNoUpstream, judge.NotRun, "no upstream of "+r.route.Deployment+" takes work"))
		return false
	}
	timer := time.NewTimer(noUpstreamRetryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return true
}

// refuseRun ends a run with a refusal, or with one that names the deadline if the
// deadline has passed.
func (s *Server) refuseRun(ctx context.Context, r *request, refusal *judge.Refusal) {
	if ctx.Err() != nil && !s.now().Before(r.deadline) {
		refusal = judge.Refuse(judge.CodeDeadline, refusal.Verdict, "the deadline passed")
	}
	if refusal.RetryAfterMS == 0 {
		refusal = refusal.WithRetryAfter(s.jitter(time.Second))
	}
	s.metrics.Count("runs_refused_" + string(refusal.Code))
	r.endWithRefusal(refusal)
}

func (s *Server) jitter(d time.Duration) time.Duration {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return retrier.Jitter(d, s.state.random)
}

// attempt runs one attempt. A nil error means that the response is complete.
func (s *Server) attempt(parent context.Context, r *request, target dispatcher.Target, version string, resumeKV bool) error {
	start := s.now()
	ctx, number := r.beginAttempt(parent, start, target)
	defer r.endAttempt()
	r.bootID = s.addInFlight(r.route.Deployment, target, version)
	defer s.removeInFlight(r.route.Deployment, target, version)
	sentText := r.buffer.Text()
	from := r.buffer.Len()
	w := s.startWatchdog(ctx, r, target, number, from)
	defer w.stop()
	stream, err := s.cfg.Upstreams.Generate(ctx, target, dispatcher.Attempt{
		RequestID: r.id, Number: number, Route: r.route.Name, Body: r.body, ResumeFrom: from, ResumeText: sentText, ResumeKV: resumeKV,
	})
	if err != nil {
		s.recordOutcome(parent, r, version, err, 0, mover.Pauses{})
		return w.failureCause(err)
	}
	defer stream.Close()
	s.recordLoad(target, stream.Running())
	firstToken := time.Duration(0)
	var pauses mover.Pauses
	for part, err := range stream.Parts() {
		if err != nil {
			s.recordOutcome(parent, r, version, err, firstToken, pauses)
			return w.failureCause(err)
		}
		now := s.now()
		if firstToken == 0 {
			firstToken = now.Sub(start)
			s.metrics.Observe("first_token_us", firstToken.Microseconds())
		}
		pauses.Observe(now)
		w.progress(now, part.Offset+1)
		r.transition("part")
		r.buffer.Append(part.Text)
		if part.Offset-from == isolationParts {
			s.markProgressed(r)
		}
		if part.Done || part.Offset+1 >= r.maxTokens {
			break
		}
	}
	s.recordOutcome(parent, r, version, nil, firstToken, pauses)
	return nil
}

// recordLoad records the load that an upstream sent with a response. Such a
// report saves a load query.
func (s *Server) recordLoad(target dispatcher.Target, running int) {
	if running == 0 {
		return
	}
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.router.SetReportedLoad(now, target.ID, running, 0)
}

// addInFlight counts an attempt as in flight on its upstream and, if its version
// is the new version of a move, in that move. It returns the boot ID of the upstream's
// process, empty if none was received.
func (s *Server) addInFlight(deployment string, target dispatcher.Target, version string) string {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.router.Begin(target.ID)
	if m, ok := s.state.moves[deployment]; ok && m.move.To == version {
		m.inFlight++
	}
	return s.state.bootIDs[target.ID]
}

// removeInFlight undoes addInFlight.
func (s *Server) removeInFlight(deployment string, target dispatcher.Target, version string) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.router.End(target.ID)
	if m, ok := s.state.moves[deployment]; ok && m.move.To == version && m.inFlight > 0 {
		m.inFlight--
	}
}

// recordOutcome adds an attempt's outcome to the comparison of versions. It leaves
// out failures that this entry or the caller caused and failures on an upstream
// that is being reclaimed.
func (s *Server) recordOutcome(ctx context.Context, r *request, version string, err error, firstToken time.Duration, pauses mover.Pauses) {
	if err != nil && (r.interrupted() || canceled(ctx)) {
		return
	}
	now := s.now()
	if err != nil && s.isExempt(r.currentTarget()) {
		return
	}
	move, rolledBack := s.state.recordOutcome(now, attemptOutcome{
		deployment: r.route.Deployment, route: r.route.Name, version: version,
		failed: err != nil, firstToken: firstToken, pauses: pauses, firstTokenTarget: r.route.AnswerWithin(),
	})
	if rolledBack {
		s.publishRollBack(move)
	}
}

func (r *request) interrupted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.interruption != nil
}

// canceled reports whether the caller or this entry canceled a request. A canceled
// request is no evidence against its upstream.
func canceled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// isExempt reports whether an upstream is being reclaimed, so that a failure on it
// does not count against it.
func (s *Server) isExempt(target dispatcher.Target) bool {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.router.IsLeaving(target.ID)
}

func (s *Server) recordSuccess(r *request, target dispatcher.Target) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.router.RecordSuccess(target.ID)
	s.state.retryBudget(budgetKey{organisation: r.org.Name, route: r.route.Name}).RecordSuccess()
	s.state.isolator.RecordCompletion(s.now(), r.fingerprint)
	s.metrics.Count("runs_done")
}

// handleFailure handles an attempt that failed at endedAt: it probes the upstream,
// then waits for the backoff or refuses the run. It reports whether to retry.
func (s *Server) handleFailure(ctx context.Context, r *request, target dispatcher.Target, endedAt time.Time, cause error) bool {
	if canceled(ctx) {
		s.refuseRun(ctx, r, judge.Refuse(judge.CodeDeadline, judge.MayHaveRun, "the request was ended"))
		return false
	}
	if judge.VerdictOf(cause) == judge.NotRun {
		r.recordNotRun()
	}
	now := s.now()
	exempt := s.isExempt(target)
	crashed := !exempt && s.probeAfterFailure(ctx, r, target, endedAt, cause)
	r.excludeUpstream(target.ID)
	s.recordFailure(target, exempt || crashed)
	s.cfg.Log.Info().Str("event", "attempt_failed").Str("request_id", r.id).Str("upstream", target.ID).
		Bool("announced", exempt).Int("parts", r.buffer.Len()).Err(cause).Send()
	decision := s.decideRetry(now, r, cause, exempt, crashed)
	if !decision.Retry {
		refusal := judge.Refuse(decision.Code, judge.VerdictOf(cause), cause.Error()).WithRetryAfter(decision.RetryAfter)
		s.refuseRun(ctx, r, refusal)
		return false
	}
	s.metrics.Count("retries")
	return s.waitBackoff(ctx, r, decision.Backoff)
}

// recordFailure counts a failed attempt against its upstream, unless the failure is
// exempt: the upstream is being reclaimed, or has crashed and is a suspect already.
func (s *Server) recordFailure(target dispatcher.Target, exempt bool) {
	s.metrics.Count("attempts_failed")
	if exempt {
		return
	}
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.router.RecordFailure(now, target.ID)
}

func (s *Server) decideRetry(now time.Time, r *request, cause error, exempt, crashed bool) retrier.Decision {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return retrier.Decide(now, s.state.retryBudget(budgetKey{organisation: r.org.Name, route: r.route.Name}), retrier.Failure{
		Verdict: judge.VerdictOf(cause), Idempotent: r.route.Idempotent, Attempts: r.attemptsMayHaveRun(),
		Deadline: r.deadline, Reclaimed: exempt, UpstreamCrashed: crashed,
	}, s.state.random)
}

func (s *Server) waitBackoff(ctx context.Context, r *request, backoff time.Duration) bool {
	if backoff <= 0 {
		return true
	}
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		s.refuseRun(ctx, r, judge.Refuse(judge.CodeDeadline, judge.MayHaveRun, "the request was ended"))
		return false
	}
}

// logQuarantined logs that a request is refused because it crashes upstreams.
func (s *Server) logQuarantined(requestID string, f isolator.Fingerprint) {
	now := s.now()
	s.state.mu.Lock()
	e := s.state.isolator.Evidence(now, f)
	s.state.mu.Unlock()
	s.cfg.Log.Info().Str("event", "request_quarantined").Str("request_id", requestID).Str("fingerprint", f.String()).Int("crashes", e.Crashes).
		Int("successive", e.Successive).Int("other_crashes", e.OtherCrashes).Float64("coincidence", e.Coincidence).
		Dur("first_age", e.FirstAge).Dur("newest_age", e.NewestAge).Send()
}

func (s *Server) crashStatus(f isolator.Fingerprint) isolator.Status {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.isolator.Status(s.now(), f)
}
