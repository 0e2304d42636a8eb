package server

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/judge"
)

// crashingUpstream crashes: it resets a number of new connections, then refuses
// them.
type crashingUpstream struct {
	dispatcher.UpstreamClient
	resets int
}

func (u *crashingUpstream) Load(context.Context, dispatcher.Target) (dispatcher.Load, error) {
	u.resets--
	if u.resets >= 0 {
		return dispatcher.Load{}, judge.Errorf(judge.MayHaveRun, "reset")
	}
	return dispatcher.Load{}, judge.Errorf(judge.NotRun, "refused")
}

// A crash is detected although the crashing process still accepted the first
// probes.
func TestCrashDetectedAfterResets(t *testing.T) {
	s := testServer(t, "e1", nil, &crashingUpstream{resets: 2})
	r := &request{fingerprint: 7}
	cause := judge.Errorf(judge.MayHaveRun, "EOF")
	require.True(t, s.probeAfterFailure(context.Background(), r, dispatcher.Target{ID: "u0"}, s.now(), cause))
	require.Equal(t, isolator.Suspect, s.crashStatus(7))
}

// progressingUpstream reports a number of parts for any attempt.
type progressingUpstream struct {
	dispatcher.UpstreamClient
	parts      int
	closedIdle bool
}

func (u *progressingUpstream) CloseIdle() { u.closedIdle = true }

func (u *progressingUpstream) Progress(context.Context, dispatcher.Target, string, int) (dispatcher.Progress, error) {
	return dispatcher.Progress{Found: true, Tokens: u.parts}, nil
}

// The watchdog does not end an attempt whose parts arrived but were read late by a
// busy entry. It does end one that gets no part between two queries.
func TestLateReadIsNotSilence(t *testing.T) {
	upstream := &progressingUpstream{parts: 5}
	s := testServer(t, "e1", nil, upstream)
	attemptCanceled := false
	r := &request{id: "a", cancelAttempt: func() { attemptCanceled = true }}
	w := s.startWatchdog(context.Background(), r, dispatcher.Target{ID: "u0"}, 1, 0)
	defer w.stop()
	w.onTimeout(context.Background())
	require.False(t, attemptCanceled, "the parts may be on their way")
	w.progress(s.now(), 5)
	upstream.parts = 9
	w.onTimeout(context.Background())
	require.False(t, attemptCanceled, "parts have arrived since")
	require.False(t, upstream.closedIdle)
	w.onTimeout(context.Background())
	require.True(t, attemptCanceled)
	require.ErrorContains(t, w.failureCause(nil), "went silent")
	require.True(t, upstream.closedIdle, "other kept connections are as silent as this one")
}

// The first request that detects a crash records it for all requests in flight,
// later ones only for themselves.
func TestFirstCrashRecordNamesAllInFlight(t *testing.T) {
	s := testServer(t, "e1", nil, &crashingUpstream{})
	runs := map[string]*request{}
	for i, id := range []string{"a", "b", "c"} {
		runs[id] = &request{id: id, fingerprint: isolator.Fingerprint(i + 1), lastUpstream: "u0", lastAttemptAt: s.now()}
	}
	crashedAt := s.now().Add(time.Millisecond)
	s.runs.addIfAbsent(runs["a"])
	s.runs.addIfAbsent(runs["b"])
	s.recordCrash(runs["a"], runs["a"].lastAttempt(crashedAt), "u0")
	require.Equal(t, isolator.Suspect, s.crashStatus(1))
	require.Equal(t, isolator.Suspect, s.crashStatus(2))
	s.runs.addIfAbsent(runs["c"])
	s.recordCrash(runs["b"], runs["b"].lastAttempt(crashedAt), "u0")
	require.Equal(t, isolator.Clear, s.crashStatus(3))
	s.recordCrash(runs["c"], runs["c"].lastAttempt(crashedAt), "u0")
	require.Equal(t, isolator.Suspect, s.crashStatus(3))
}

// A request that starts on an upstream after its crash, before the crash is
// detected, gets no crash record.
func TestLaterRequestIsNotInCrashRecord(t *testing.T) {
	s := testServer(t, "e1", nil, &crashingUpstream{})
	crashedAt := s.now()
	victim := &request{id: "a", fingerprint: 1, lastUpstream: "u0", lastAttemptAt: crashedAt.Add(-time.Second)}
	late := &request{id: "b", fingerprint: 2, lastUpstream: "u0", lastAttemptAt: crashedAt.Add(time.Millisecond)}
	s.runs.addIfAbsent(victim)
	s.runs.addIfAbsent(late)
	s.recordCrash(victim, victim.lastAttempt(crashedAt), "u0")
	require.Equal(t, isolator.Suspect, s.crashStatus(1))
	require.Equal(t, isolator.Clear, s.crashStatus(2))
}

// A suspect may run on the upstream of another that has made its first parts, but
// not of one that was in flight at all the same crashes.
func TestSuspectsWithSameCrashesShareNoUpstream(t *testing.T) {
	s := testServer(t, "e1", nil, &crashingUpstream{})
	now := s.now()
	a, b, c := &request{fingerprint: 1}, &request{fingerprint: 2}, &request{fingerprint: 3}
	attempt := func(f isolator.Fingerprint) isolator.Attempt {
		return isolator.Attempt{Fingerprint: f, Start: now.Add(-time.Second), End: now}
	}
	s.state.isolator.RecordCrash(now, "u0", []isolator.Attempt{attempt(1), attempt(2)})
	s.state.isolator.RecordCrash(now, "u1", []isolator.Attempt{attempt(3)})
	s.state.suspects["u2"] = []suspectRun{{request: a}}
	require.False(t, s.state.mayShareUpstream(now, c, s.state.suspects["u2"]))
	s.markProgressed(a)
	require.True(t, s.state.mayShareUpstream(now, c, s.state.suspects["u2"]))
	require.False(t, s.state.mayShareUpstream(now, b, s.state.suspects["u2"]))
	s.endIsolation(a)
	require.Empty(t, s.state.suspects)
}

// isolatingUpstream crashes during a call, while peers confirm the call as poison.
type isolatingUpstream struct {
	crashingUpstream
	server *Server
	calls  int
}

func (u *isolatingUpstream) Call(context.Context, dispatcher.Target, dispatcher.Call) (dispatcher.Response, error) {
	u.calls++
	u.server.state.mu.Lock()
	defer u.server.state.mu.Unlock()
	u.server.state.isolator.Quarantine(u.server.now(), 7, u.server.now().Add(time.Hour))
	return dispatcher.Response{}, judge.Errorf(judge.MayHaveRun, "EOF")
}

// Runs that broke off in a crash counted as failures of the upstream one by one, so that
// it got no requests long after it had started again.
func TestACrashIsOneFailure(t *testing.T) {
	s := testServer(t, "e1", nil, &crashingUpstream{})
	for id := range 32 {
		call := newTestCall(s, fmt.Sprint(id), "")
		s.handleCallFailure(context.Background(), call, dispatcher.Target{ID: "u0"}, judge.Errorf(judge.MayHaveRun, "EOF"))
	}
	for _, status := range s.state.router.Statuses() {
		if status.ID == "u0" {
			require.LessOrEqual(t, status.SuspectUntil.Sub(s.now()), suspectDuration)
		}
	}
}

// A call that is confirmed as poison during one of its attempts made all others that
// its retries allowed.
func TestPoisonCallIsNotRetried(t *testing.T) {
	upstream := &isolatingUpstream{}
	s := testServer(t, "e1", nil, upstream)
	upstream.server = s
	call := newTestCall(s, "a", "")
	call.fingerprint, call.route.Idempotent = 7, true
	_, refusal := s.serveCall(context.Background(), call)
	require.Equal(t, judge.CodeCrashesUpstreams, refusal.Code)
	require.Equal(t, judge.MayHaveRun, refusal.Verdict)
	require.Equal(t, 1, upstream.calls)
	repeated := newTestCall(s, "b", "")
	repeated.fingerprint = call.fingerprint
	_, refusal = s.serveCall(context.Background(), repeated)
	require.Equal(t, judge.NotRun, refusal.Verdict)
	require.Equal(t, 1, upstream.calls)
}

// lateUpstream responds to a call during the second progress query about it.
type lateUpstream struct {
	dispatcher.UpstreamClient
	probes      int
	secondProbe chan struct{}
}

func (u *lateUpstream) Progress(context.Context, dispatcher.Target, string, int) (dispatcher.Progress, error) {
	if u.probes++; u.probes == 2 {
		close(u.secondProbe)
	}
	return dispatcher.Progress{Found: true, Done: true}, nil
}

func (u *lateUpstream) Call(ctx context.Context, _ dispatcher.Target, _ dispatcher.Call) (dispatcher.Response, error) {
	<-ctx.Done()
	select {
	case <-u.secondProbe:
		return dispatcher.Response{Status: http.StatusOK}, nil
	default:
		return dispatcher.Response{}, ctx.Err()
	}
}

// A response that arrives during the query that would end the call is returned to
// the caller.
func TestResponseBeforeProbeResult(t *testing.T) {
	s := testServer(t, "e1", nil, &lateUpstream{secondProbe: make(chan struct{})})
	reply, err := s.callWithProbes(context.Background(), &serviceCall{}, dispatcher.Target{ID: "u0"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, reply.Status)
}
