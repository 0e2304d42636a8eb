package server

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/waiter"
	"github.com/galenahitch/galenahitch/pkg/claimer"
	"github.com/galenahitch/galenahitch/pkg/judge"
)

const (
	// maxDispatches bounds the upstreams that a claimed call is offered to
	// while it is known not to have run.
	maxDispatches = 3
	// claimWriteTimeout bounds the writing of a claim.
	claimWriteTimeout = 3 * time.Second
	// progressTimeout bounds one question, which may be asked after the deadline.
	progressTimeout = 500 * time.Millisecond
	// progressPollInterval is the wait between questions about a call that still runs.
	progressPollInterval = 200 * time.Millisecond
	// maxOutcomeReads and outcomeLook are how often and after which pauses a
	// duplicate looks for the outcome of a call that has run.
	maxOutcomeReads     = 4
	outcomeReadInterval = 25 * time.Millisecond
	// maxOutcomeBodyBytes bounds the answer that is kept for duplicates.
	maxOutcomeBodyBytes = 64 << 10
)

// ownClaim is a claim that this entry has written.
type ownClaim struct {
	key        string
	rowVersion uint64
	claim      claimer.Claim
}

// callAtMostOnce runs a call under its idempotency key at most once.
func (s *Server) callAtMostOnce(ctx context.Context, call *serviceCall) (dispatcher.Response, *judge.Refusal) {
	expect := uint64(0)
	var last *ownClaim
	defer func() {
		// What was claimed here and is known not to have run frees its key.
		if last != nil {
			s.queueOutcome(*last, judge.NotRun, dispatcher.Response{})
		}
	}()
	for range maxDispatches {
		h, version, refusal := s.writeClaim(ctx, call, expect)
		if refusal != nil {
			return dispatcher.Response{}, refusal
		}
		last = nil
		if h.existing != nil {
			if claimer.Decide(*h.existing, call.digest) == claimer.Replace {
				expect = h.rowVersion
				continue
			}
			return s.respondToDuplicate(ctx, call, *h.existing)
		}
		reply, refusal, again := s.dispatchClaimed(ctx, call, h.ownClaim, version)
		if !again {
			return reply, refusal
		}
		last = &h.ownClaim
		expect = h.rowVersion
	}
	return dispatcher.Response{}, judge.Refuse(judge.CodeNoUpstream, judge.NotRun, "no upstream took the call").WithRetryAfter(s.jitter(time.Second))
}

// claimResult is the result of claim: a claim of this entry, or another's.
type claimResult struct {
	ownClaim
	existing *claimer.Claim
}

// writeClaim writes the writeClaim that names the one upstream of the dispatch. No byte
// leaves before the write is known to have taken effect.
func (s *Server) writeClaim(ctx context.Context, call *serviceCall, expect uint64) (claimResult, string, *judge.Refusal) {
	target, version, ok := s.chooseCallUpstream(call)
	if !ok {
		return claimResult{}, "", judge.Refuse(judge.CodeNoUpstream, judge.NotRun, "no upstream of "+call.route.Deployment+" takes work").WithRetryAfter(s.jitter(time.Second))
	}
	claim := claimer.Claim{
		Token: uuid.NewString(), Digest: call.digest, RequestID: call.requestID, EntryID: s.cfg.Self.ID,
		UpstreamID: target.ID, UpstreamAddress: target.Address, Attempt: call.attempts + 1,
	}
	key := claimer.Key(call.org.Name, call.idempotencyKey)
	value, _ := json.Marshal(claim)
	ctx, cancel := context.WithTimeout(ctx, claimWriteTimeout)
	defer cancel()
	result, err := provider.PutWithReadBack(ctx, s.cfg.Table, provider.Put{Key: key, Value: value, Expect: expect})
	if err != nil {
		s.metrics.Count("claims_refused_store")
		s.abandonClaim(ownClaim{key: key, claim: claim})
		return claimResult{}, "", judge.Refuse(judge.CodeStoreUnreachable, judge.NotRun, "the platform's table can't be reached, so the call can't be kept from running twice").WithRetryAfter(s.jitter(2 * time.Second))
	}
	if result.Applied {
		return claimResult{ownClaim: ownClaim{key: key, rowVersion: result.Row.Version, claim: claim}}, version, nil
	}
	var existing claimer.Claim
	if err := json.Unmarshal(result.Row.Value, &existing); err != nil {
		return claimResult{}, "", judge.Refuse(judge.CodeStoreUnreachable, judge.NotRun, "the claim of this key can't be read")
	}
	return claimResult{ownClaim: ownClaim{key: key, rowVersion: result.Row.Version}, existing: &existing}, "", nil
}

// dispatchClaimed makes the one dispatch of a claim. It returns again if the
// upstream is known not to have run it, so that the claim may name another.
func (s *Server) dispatchClaimed(ctx context.Context, call *serviceCall, h ownClaim, version string) (dispatcher.Response, *judge.Refusal, bool) {
	target := dispatcher.Target{ID: h.claim.UpstreamID, Address: h.claim.UpstreamAddress}
	reply, err := s.attemptCall(ctx, call, target, version)
	if err == nil {
		s.recordCallSuccess(call, target)
		s.queueOutcome(h, judge.Ran, reply)
		return reply, nil, false
	}
	decision := s.handleCallFailure(ctx, call, target, err)
	if judge.VerdictOf(err) == judge.NotRun {
		if decision.Retry && waiter.Pause(ctx, decision.Backoff) {
			return dispatcher.Response{}, nil, true
		}
		s.queueOutcome(h, judge.NotRun, dispatcher.Response{})
		return dispatcher.Response{}, judge.Refuse(decision.Code, judge.NotRun, err.Error()).WithRetryAfter(max(decision.RetryAfter, decision.Backoff)), false
	}
	refusal := s.queryOutcome(ctx, target, h.claim.RequestID, h.claim.Attempt)
	if refusal.Verdict == judge.Ran {
		s.queueOutcome(h, judge.Ran, dispatcher.Response{})
	}
	return dispatcher.Response{}, refusal, false
}

// queryOutcome asks an upstream what became of a dispatch whose answer did not arrive.
// An upstream that does not know of it proves nothing: the request may still
// be on its way.
func (s *Server) queryOutcome(ctx context.Context, target dispatcher.Target, requestID string, attempt int) *judge.Refusal {
	for {
		asked, cancel := context.WithTimeout(context.WithoutCancel(ctx), progressTimeout)
		progress, err := s.cfg.Upstreams.Progress(asked, target, requestID, attempt)
		cancel()
		switch {
		case err == nil && progress.Done:
			return judge.Refuse(judge.CodeUnknownOutcome, judge.Ran, "it ran, but its answer was lost")
		case err != nil || !progress.Found:
			return judge.Refuse(judge.CodeUpstreamFailed, judge.MayHaveRun, "the upstream that got it can't say what became of it")
		}
		if !waiter.Pause(ctx, progressPollInterval) {
			return judge.Refuse(judge.CodeInProgress, judge.MayHaveRun, "it is still running").WithRetryAfter(s.jitter(time.Second))
		}
	}
}

// respondToDuplicate answers a call whose key is another's.
func (s *Server) respondToDuplicate(ctx context.Context, call *serviceCall, existing claimer.Claim) (dispatcher.Response, *judge.Refusal) {
	s.metrics.Count("duplicates")
	switch claimer.Decide(existing, call.digest) {
	case claimer.RejectReuse:
		return dispatcher.Response{}, judge.Refuse(judge.CodeKeyReuse, judge.NotRun, "the key belongs to another request")
	case claimer.Replay:
		return replayOutcome(existing)
	}
	target := dispatcher.Target{ID: existing.UpstreamID, Address: existing.UpstreamAddress}
	progress, err := s.cfg.Upstreams.Progress(ctx, target, existing.RequestID, existing.Attempt)
	if err != nil || !progress.Done {
		return dispatcher.Response{}, judge.Refuse(judge.CodeInProgress, judge.MayHaveRun, "the key was used for this request before and its outcome is not known yet").WithRetryAfter(s.jitter(time.Second))
	}
	if settled, ok := s.awaitOutcome(ctx, call); ok {
		return replayOutcome(settled)
	}
	return dispatcher.Response{}, judge.Refuse(judge.CodeUnknownOutcome, judge.Ran, "it ran; ask again for its answer").WithRetryAfter(s.jitter(progressPollInterval))
}

// replayOutcome answers with a recorded outcome.
func replayOutcome(claim claimer.Claim) (dispatcher.Response, *judge.Refusal) {
	if claim.Status == 0 {
		return dispatcher.Response{}, judge.Refuse(judge.CodeUnknownOutcome, judge.Ran, "it ran, but its answer was lost")
	}
	return dispatcher.Response{Status: claim.Status, ContentType: claim.ContentType, Body: claim.Body}, nil
}

// awaitOutcome reads a claim again for a moment: a call that has run is about
// to have its outcome recorded.
func (s *Server) awaitOutcome(ctx context.Context, call *serviceCall) (claimer.Claim, bool) {
	for range maxOutcomeReads {
		if !waiter.Pause(ctx, outcomeReadInterval) {
			break
		}
		row, err := s.cfg.Table.Get(ctx, claimer.Key(call.org.Name, call.idempotencyKey))
		var claim claimer.Claim
		if err != nil || json.Unmarshal(row.Value, &claim) != nil {
			break
		}
		if claimer.Decide(claim, call.digest) == claimer.Replay {
			return claim, true
		}
	}
	return claimer.Claim{}, false
}

// queueOutcome records the outcome of a claim.
func (s *Server) queueOutcome(h ownClaim, verdict judge.Verdict, reply dispatcher.Response) {
	h.claim.Verdict = verdict
	if len(reply.Body) <= maxOutcomeBodyBytes {
		h.claim.Status, h.claim.ContentType, h.claim.Body = reply.Status, reply.ContentType, reply.Body
	}
	s.outcomes.add(h)
}

// abandonClaim records that a claim whose write has an unknown outcome was never
// dispatched, so that the key is free again if the write did take effect.
func (s *Server) abandonClaim(h ownClaim) {
	h.claim.Verdict = judge.NotRun
	h.rowVersion = 0
	s.outcomes.add(h)
}
