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
	// maxDispatches bounds the attempts to claim and dispatch one call. A call is
	// dispatched again only if its last dispatch is known not to have run.
	maxDispatches = 3
	// claimWriteTimeout bounds the write of a claim, with its read-back.
	claimWriteTimeout = 3 * time.Second
	// progressTimeout bounds one progress query, which may be sent after the
	// call's deadline.
	progressTimeout = 500 * time.Millisecond
	// progressPollInterval is the time between progress queries about a call that
	// is still running.
	progressPollInterval = 200 * time.Millisecond
	// maxOutcomeReads and outcomeReadInterval are the number of reads with which a
	// duplicate waits for the recorded outcome of a call that has run, and the
	// delay before each.
	maxOutcomeReads     = 4
	outcomeReadInterval = 25 * time.Millisecond
	// maxOutcomeBodyBytes bounds the response body that is recorded for duplicates.
	maxOutcomeBodyBytes = 64 << 10
)

// ownClaim is a claim of this entry. rowVersion is the version of its row, 0 if it
// is not known whether the claim was written.
type ownClaim struct {
	key        string
	rowVersion uint64
	claim      claimer.Claim
}

// callAtMostOnce runs a call with an idempotency key at most once. It writes a
// claim to the table before each dispatch; a duplicate gets the recorded outcome
// or a refusal with the verdict on the first call.
func (s *Server) callAtMostOnce(ctx context.Context, call *serviceCall) (dispatcher.Response, *judge.Refusal) {
	expectedVersion := uint64(0)
	var lastClaim *ownClaim
	defer func() {
		// The call of lastClaim is known not to have run, so its key is released.
		if lastClaim != nil {
			s.queueOutcome(*lastClaim, judge.NotRun, dispatcher.Response{})
		}
	}()
	for range maxDispatches {
		result, version, refusal := s.writeClaim(ctx, call, expectedVersion)
		if refusal != nil {
			return dispatcher.Response{}, refusal
		}
		lastClaim = nil
		if result.existing != nil {
			if claimer.Decide(*result.existing, call.digest) == claimer.Replace {
				expectedVersion = result.rowVersion
				continue
			}
			return s.respondToDuplicate(ctx, call, *result.existing)
		}
		response, refusal, retry := s.dispatchClaimed(ctx, call, result.ownClaim, version)
		if !retry {
			return response, refusal
		}
		lastClaim = &result.ownClaim
		expectedVersion = result.rowVersion
	}
	return dispatcher.Response{}, judge.Refuse(judge.CodeNoUpstream, judge.NotRun, "no upstream took the call").WithRetryAfter(s.jitter(time.Second))
}

// claimResult is the result of writeClaim: the claim that was written, or, if the
// row has changed, the existing claim with its row's version.
type claimResult struct {
	ownClaim
	existing *claimer.Claim
}

// writeClaim chooses an upstream and writes the claim that names it. It also returns
// the upstream's version. Nothing is sent to the upstream before the write is
// confirmed.
func (s *Server) writeClaim(ctx context.Context, call *serviceCall, expectedVersion uint64) (claimResult, string, *judge.Refusal) {
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
	result, err := provider.PutWithReadBack(ctx, s.cfg.Table, provider.Put{Key: key, Value: value, Expect: expectedVersion})
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

// dispatchClaimed makes the only dispatch of a claim. It returns true if the call
// is known not to have run and may be claimed again for another upstream.
func (s *Server) dispatchClaimed(ctx context.Context, call *serviceCall, own ownClaim, version string) (dispatcher.Response, *judge.Refusal, bool) {
	target := dispatcher.Target{ID: own.claim.UpstreamID, Address: own.claim.UpstreamAddress}
	response, err := s.attemptCall(ctx, call, target, version)
	if err == nil {
		s.recordCallSuccess(call, target)
		s.queueOutcome(own, judge.Ran, response)
		return response, nil, false
	}
	decision := s.handleCallFailure(ctx, call, target, err)
	if judge.VerdictOf(err) == judge.NotRun {
		if decision.Retry && waiter.Pause(ctx, decision.Backoff) {
			return dispatcher.Response{}, nil, true
		}
		s.queueOutcome(own, judge.NotRun, dispatcher.Response{})
		return dispatcher.Response{}, judge.Refuse(decision.Code, judge.NotRun, err.Error()).WithRetryAfter(max(decision.RetryAfter, decision.Backoff)), false
	}
	refusal := s.queryOutcome(ctx, target, own.claim.RequestID, own.claim.Attempt)
	if refusal.Verdict == judge.Ran {
		s.queueOutcome(own, judge.Ran, dispatcher.Response{})
	}
	return dispatcher.Response{}, refusal, false
}

// queryOutcome queries an upstream for the outcome of a dispatch whose response was
// lost. If the upstream has no record of the request, the request may still run: it
// may be in transit.
func (s *Server) queryOutcome(ctx context.Context, target dispatcher.Target, requestID string, attempt int) *judge.Refusal {
	for {
		queryCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), progressTimeout)
		progress, err := s.cfg.Upstreams.Progress(queryCtx, target, requestID, attempt)
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

// respondToDuplicate responds to a call whose idempotency key is claimed already.
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
	if recorded, ok := s.awaitOutcome(ctx, call); ok {
		return replayOutcome(recorded)
	}
	return dispatcher.Response{}, judge.Refuse(judge.CodeUnknownOutcome, judge.Ran, "it ran; ask again for its answer").WithRetryAfter(s.jitter(progressPollInterval))
}

// replayOutcome returns the response that is recorded in a claim. There is none if
// the response was lost or its body was too large.
func replayOutcome(claim claimer.Claim) (dispatcher.Response, *judge.Refusal) {
	if claim.Status == 0 {
		return dispatcher.Response{}, judge.Refuse(judge.CodeUnknownOutcome, judge.Ran, "it ran, but its answer was lost")
	}
	return dispatcher.Response{Status: claim.Status, ContentType: claim.ContentType, Body: claim.Body}, nil
}

// awaitOutcome reads the claim of a call that has run until its outcome is
// recorded. It returns false after maxOutcomeReads.
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

// queueOutcome sets the outcome of a claim and queues it to be written. Response
// bodies above maxOutcomeBodyBytes are left out.
func (s *Server) queueOutcome(own ownClaim, verdict judge.Verdict, response dispatcher.Response) {
	own.claim.Verdict = verdict
	if len(response.Body) <= maxOutcomeBodyBytes {
		own.claim.Status, own.claim.ContentType, own.claim.Body = response.Status, response.ContentType, response.Body
	}
	s.outcomes.add(own)
}

// abandonClaim queues the outcome "not run" for a claim whose write may or may not
// have taken effect. Its call was not dispatched, so its key can be released.
func (s *Server) abandonClaim(own ownClaim) {
	own.claim.Verdict = judge.NotRun
	own.rowVersion = 0
	s.outcomes.add(own)
}
