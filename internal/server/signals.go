package server

import (
	"time"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/reporter"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/reclaimer"
	"github.com/galenahitch/galenahitch/pkg/retrier"
	"github.com/galenahitch/galenahitch/pkg/router"
)

// recordSignals records what an upstream says of itself in a response. That it leaves
// counts as a notice.
func (s *Server) recordSignals(target dispatcher.Target, signals dispatcher.Signals) {
	if signals.Leaving {
		s.handleNotices([]provider.Notice{{VMID: target.ID, RemainingMS: signals.ReclaimIn.Milliseconds()}})
	}
	if signals.RetryAfter <= 0 {
		return
	}
	s.metrics.Count("responses_retry_after")
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if s.state.router.RecordSignals(now, target.ID, router.Signals{RetryAfter: signals.RetryAfter}) {
		s.logAvoided(now)
	}
}

// logAvoided logs which upstreams have begun or ceased to be avoided. The lock must be
// held.
func (s *Server) logAvoided(now time.Time) {
	reporter.LogAvoided(s.cfg.Log, now, now.Sub(s.state.vmListAt), s.state.router.Changes(now))
}

// backoffUntil returns until when an upstream wants nothing from this entry, queries
// included. It returns false if the upstream has not asked for time.
func (s *Server) backoffUntil(now time.Time, id string) (time.Time, bool) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	a := s.state.router.Admission(now, id)
	return a.Until, a.Cause == router.CauseBackoff
}

// usable returns an interruption whose next upstream may get the run, or one without it.
func (s *Server) usable(intr interruption) interruption {
	if intr.nextTarget.ID == "" {
		return intr
	}
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if s.state.router.Admission(s.now(), intr.nextTarget.ID).Forbids() {
		return interruption{action: reclaimer.Resume}
	}
	return intr
}

// nextReturn returns how long no upstream of a deployment will take a request. It returns
// false if one does, or if that time is not known.
func (s *Server) nextReturn(deployment string) (time.Duration, bool) {
	now := s.now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	next, known := s.state.router.NextReturn(now, router.Request{Deployment: deployment})
	return next.Sub(now), known
}

// refuseNoUpstream returns the refusal of a request for which a deployment has no upstream.
func (s *Server) refuseNoUpstream(deployment string) *judge.Refusal {
	refusal := judge.Refuse(judge.CodeNoUpstream, judge.NotRun, "no upstream of "+deployment+" takes work")
	wait, known := s.nextReturn(deployment)
	if !known {
		return refusal.WithRetryAfter(s.jitter(time.Second))
	}
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return refusal.WithRetryAfter(wait + retrier.Jitter(wait/retrySpreadParts, s.state.random))
}

// retrySpreadParts divides the time until an upstream returns; the callers that wait for
// it come back within one part.
const retrySpreadParts = 2
