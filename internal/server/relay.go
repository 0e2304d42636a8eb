package server

import (
	"context"
	"errors"
	"time"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/replayer"
	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/reclaimer"
	"github.com/galenahitch/galenahitch/pkg/retrier"
	"github.com/galenahitch/galenahitch/pkg/router"
)

const (
	// firstStall is the longest wait for a first token before the upstream is
	// asked about it; laterStall the least such wait between tokens.
	firstStall = 2 * time.Second
	laterStall = 1500 * time.Millisecond
	// suspectTime keeps new work from an upstream that did not answer a probe.
	suspectTime = 5 * time.Second
	// noUpstreamPause is the wait of an accepted request for an upstream.
	noUpstreamPause = 100 * time.Millisecond
)

// relay brings a run to its end: it pulls parts from one upstream after
// another until the answer is whole, given up or handed to a peer.
func (s *Server) relay(ctx context.Context, r *request) {
	began := s.now()
	defer func() {
		if r.admitted {
			r.admitted = false
			s.state.release(s.now(), r.org, r.route, s.now().Sub(began))
		}
		close(r.relayDone)
	}()
	var next interruption
	for {
		if o := r.takeInterruption(); o != nil && o.stopRelay {
			return
		}
		if s.standing(r.fingerprint) == isolator.Confirmed {
			s.giveUp(ctx, r, judge.Refuse(judge.CodeCrashesUpstreams, judge.MayHaveRun, "this request crashes the upstreams that run it"))
			return
		}
		target, version, ok := s.chooseNext(r, next)
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
			r.buffer.End(replayer.End{Kind: replayer.Done})
			s.endSolo(r)
			s.succeed(r, target)
			return
		}
		if o := r.takeInterruption(); o != nil {
			s.endSolo(r)
			if o.stopRelay {
				return
			}
			next = *o
			s.metrics.Count("streams_moved_" + string(o.action))
			r.excludeUpstream(target.ID)
			continue
		}
		r.failedVersion = version
		// Until it is known what became of the upstream, no other suspect may
		// take it: it would be implicated in a death that came before it.
		goOn := s.after(ctx, r, target, endedAt, err)
		s.endSolo(r)
		if !goOn {
			return
		}
	}
}

// chooseNext follows an order that names the next upstream.
func (s *Server) chooseNext(r *request, o interruption) (dispatcher.Target, string, bool) {
	if o.nextTarget.ID != "" {
		return o.nextTarget, o.nextVersion, true
	}
	return s.choose(r)
}

// choose picks the version and the upstream of a run's next attempt.
func (s *Server) choose(r *request) (dispatcher.Target, string, bool) {
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	ask, ok := s.state.ask(r)
	if !ok {
		return dispatcher.Target{}, "", false
	}
	u, ok := s.state.pickUpstream(ask, func(ask router.Request) (router.Upstream, bool) {
		switch s.state.isolator.Status(now, r.fingerprint) {
		case isolator.Clear:
			return s.state.router.Pick(now, ask)
		case isolator.Suspect:
			return s.state.pickAlone(now, r, ask)
		default:
			return router.Upstream{}, false
		}
	})
	return dispatcher.Target{ID: u.ID, Address: u.Address}, u.Version, ok
}

func (s *state) ask(r *request) (router.Request, bool) {
	d, ok := s.cfg.Deployment(r.route.Deployment)
	if !ok {
		return router.Request{}, false
	}
	version := s.chooseVersion(r.id, d, r.failedVersion)
	return router.Request{Deployment: d.Name, Version: version, PrefixHash: prefixHash(r), Exclude: r.excludedUpstreams()}, true
}

// waitForUpstream holds an accepted run until an upstream may take it, and
// ends it when that can't be in time.
func (s *Server) waitForUpstream(ctx context.Context, r *request) bool {
	r.clearExclusions()
	if s.now().Add(noUpstreamPause).After(r.deadline) || ctx.Err() != nil {
		s.giveUp(ctx, r, judge.Refuse(judge.CodeNoUpstream, judge.NotRun, "no upstream of "+r.route.Deployment+" takes work"))
		return false
	}
	timer := time.NewTimer(noUpstreamPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return true
}

// giveUp ends a run with its final answer at once.
func (s *Server) giveUp(ctx context.Context, r *request, refusal *judge.Refusal) {
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

// attempt runs one attempt. A nil error means that the answer is whole.
func (s *Server) attempt(parent context.Context, r *request, target dispatcher.Target, version string, kv bool) error {
	began := s.now()
	ctx, number := r.beginAttempt(parent, began, target)
	defer r.endAttempt()
	r.bootID = s.enter(r.route.Deployment, target, version)
	defer s.leave(r.route.Deployment, target, version)
	sent := r.buffer.Text()
	from := r.buffer.Len()
	guard := s.watchdog(ctx, r, target, number, from)
	defer guard.stop()
	stream, err := s.cfg.Upstreams.Generate(ctx, target, dispatcher.Attempt{
		RequestID: r.id, Number: number, Route: r.route.Name, Body: r.body, ResumeFrom: from, ResumeText: sent, ResumeKV: kv,
	})
	if err != nil {
		s.recordOutcome(parent, r, version, err, 0)
		return guard.explain(err)
	}
	defer stream.Close()
	s.hearLoad(target, stream.Running())
	first := time.Duration(0)
	for part, err := range stream.Parts() {
		if err != nil {
			s.recordOutcome(parent, r, version, err, first)
			return guard.explain(err)
		}
		now := s.now()
		if first == 0 {
			first = now.Sub(began)
			s.metrics.Observe("first_token_us", first.Microseconds())
		}
		guard.progress(now, part.Offset+1)
		r.transition("part")
		r.buffer.Append(part.Text)
		if part.Offset-from == soloParts {
			s.prove(r)
		}
		if part.Done || part.Offset+1 >= r.maxTokens {
			break
		}
	}
	s.recordOutcome(parent, r, version, nil, first)
	return nil
}

// hearLoad takes the load that came with an answer, which costs no question.
func (s *Server) hearLoad(target dispatcher.Target, running int) {
	if running == 0 {
		return
	}
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.router.SetReportedLoad(now, target.ID, running, 0)
}

// enter counts an attempt on an upstream and on the version that moves in. It
// returns the boot of the upstream's process, as far as known.
func (s *Server) enter(deployment string, target dispatcher.Target, version string) string {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.router.Begin(target.ID)
	if m, ok := s.state.moves[deployment]; ok && m.move.To == version {
		m.inFlight++
	}
	return s.state.bootIDs[target.ID]
}

// leave ends what enter began.
func (s *Server) leave(deployment string, target dispatcher.Target, version string) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.router.End(target.ID)
	if m, ok := s.state.moves[deployment]; ok && m.move.To == version && m.inFlight > 0 {
		m.inFlight--
	}
}

// recordOutcome tells the comparison of versions how an attempt went. Attempts that
// this entry ended itself say nothing about the version.
func (s *Server) recordOutcome(ctx context.Context, r *request, version string, err error, first time.Duration) {
	if err != nil && (r.interrupted() || abandoned(ctx)) {
		return
	}
	now := s.now()
	if err != nil && s.excused(r.currentTarget()) {
		return
	}
	back, tripped := s.state.recordOutcome(now, attemptOutcome{
		deployment: r.route.Deployment, route: r.route.Name, version: version,
		failed: err != nil, firstToken: first, firstTokenTarget: r.route.AnswerWithin(),
	})
	if tripped {
		s.publishRollBack(back)
	}
}

func (r *request) interrupted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.interruption != nil
}

// abandoned reports whether a request was ended by its caller or by this entry,
// which says nothing about the upstream that it was on.
func abandoned(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// excused reports whether a failure on an upstream is explained by a reclaim.
func (s *Server) excused(target dispatcher.Target) bool {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.router.IsLeaving(target.ID)
}

func (s *Server) succeed(r *request, target dispatcher.Target) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.router.RecordSuccess(target.ID)
	s.state.retryBudget(budgetKey{organisation: r.org.Name, route: r.route.Name}).RecordSuccess()
	s.metrics.Count("runs_done")
}

// after decides what follows an attempt that failed at endedAt. It returns
// false if the run is over.
func (s *Server) after(ctx context.Context, r *request, target dispatcher.Target, endedAt time.Time, cause error) bool {
	if abandoned(ctx) {
		s.giveUp(ctx, r, judge.Refuse(judge.CodeDeadline, judge.MayHaveRun, "the request was ended"))
		return false
	}
	if judge.VerdictOf(cause) == judge.NotRun {
		r.recordNotRun()
	}
	now := s.now()
	announced := s.excused(target)
	died := !announced && s.investigate(ctx, r, target, endedAt, cause)
	r.excludeUpstream(target.ID)
	s.failed(target, announced)
	s.cfg.Log.Info().Str("event", "attempt_failed").Str("request_id", r.id).Str("upstream", target.ID).
		Bool("announced", announced).Int("parts", r.buffer.Len()).Err(cause).Send()
	decision := s.decide(now, r, cause, announced, died)
	if !decision.Retry {
		refusal := judge.Refuse(decision.Code, judge.VerdictOf(cause), cause.Error()).WithRetryAfter(decision.RetryAfter)
		s.giveUp(ctx, r, refusal)
		return false
	}
	s.metrics.Count("retries")
	return s.backoff(ctx, r, decision.Backoff)
}

// failed counts an attempt that failed against its upstream, unless a reclaim
// explains it.
func (s *Server) failed(target dispatcher.Target, announced bool) {
	s.metrics.Count("attempts_failed")
	if announced {
		return
	}
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.router.RecordFailure(now, target.ID)
}

func (s *Server) decide(now time.Time, r *request, cause error, announced, died bool) retrier.Decision {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return retrier.Decide(now, s.state.retryBudget(budgetKey{organisation: r.org.Name, route: r.route.Name}), retrier.Failure{
		Verdict: judge.VerdictOf(cause), Idempotent: r.route.Idempotent, Attempts: r.attemptsMayHaveRun(),
		Deadline: r.deadline, Reclaimed: announced, UpstreamCrashed: died,
	}, s.state.random)
}

func (s *Server) backoff(ctx context.Context, r *request, wait time.Duration) bool {
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		s.giveUp(ctx, r, judge.Refuse(judge.CodeDeadline, judge.MayHaveRun, "the request was ended"))
		return false
	}
}

func (s *Server) standing(f isolator.Fingerprint) isolator.Status {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.isolator.Status(s.now(), f)
}
