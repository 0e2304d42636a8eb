package server

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/judge"
)

// crashingUpstream is an upstream that still takes connections for a moment after it has
// cut those that were open.
type crashingUpstream struct {
	dispatcher.UpstreamClient
	resets int
}

func (d *crashingUpstream) Load(context.Context, dispatcher.Target) (dispatcher.Load, error) {
	d.resets--
	if d.resets >= 0 {
		return dispatcher.Load{}, judge.Errorf(judge.MayHaveRun, "reset")
	}
	return dispatcher.Load{}, judge.Errorf(judge.NotRun, "refused")
}

// A death is seen although the dying process took the first probes.
func TestCrashDetectedAfterResets(t *testing.T) {
	s := testServer(t, "e1", nil, &crashingUpstream{resets: 2})
	r := &request{fingerprint: 7}
	cause := judge.Errorf(judge.MayHaveRun, "EOF")
	require.True(t, s.probeAfterFailure(context.Background(), r, dispatcher.Target{ID: "u0"}, s.now(), cause))
	require.Equal(t, isolator.Suspect, s.crashStatus(7))
}

// progressingUpstream is an upstream that has progressingUpstream a number of parts of any attempt.
type progressingUpstream struct {
	dispatcher.UpstreamClient
	parts int
}

func (m *progressingUpstream) Progress(context.Context, dispatcher.Target, string, int) (dispatcher.Progress, error) {
	return dispatcher.Progress{Found: true, Tokens: m.parts}, nil
}

// An entry that is slow to read what has arrived does not take the connection
// for silent. One that gets nothing between two looks does.
func TestLateReadIsNotSilence(t *testing.T) {
	upstream := &progressingUpstream{parts: 5}
	s := testServer(t, "e1", nil, upstream)
	ended := false
	r := &request{id: "a", cancelAttempt: func() { ended = true }}
	w := s.startWatchdog(context.Background(), r, dispatcher.Target{ID: "u0"}, 1, 0)
	defer w.stop()
	w.onTimeout(context.Background())
	require.False(t, ended, "the parts may be on their way")
	w.progress(s.now(), 5)
	upstream.parts = 9
	w.onTimeout(context.Background())
	require.False(t, ended, "parts have arrived since")
	w.onTimeout(context.Background())
	require.True(t, ended)
	require.ErrorContains(t, w.failureCause(nil), "went silent")
}

// The first request that finds a death names all that were in flight, later
// ones only themselves.
func TestFirstCrashRecordNamesAllInFlight(t *testing.T) {
	s := testServer(t, "e1", nil, &crashingUpstream{})
	runs := map[string]*request{}
	for i, id := range []string{"a", "b", "c"} {
		runs[id] = &request{id: id, fingerprint: isolator.Fingerprint(i + 1), lastUpstream: "u0", lastAttemptAt: s.now()}
	}
	diedAt := s.now().Add(time.Millisecond)
	s.runs.addIfAbsent(runs["a"])
	s.runs.addIfAbsent(runs["b"])
	s.recordCrash(runs["a"], "u0", diedAt)
	require.Equal(t, isolator.Suspect, s.crashStatus(1))
	require.Equal(t, isolator.Suspect, s.crashStatus(2))
	s.runs.addIfAbsent(runs["c"])
	s.recordCrash(runs["b"], "u0", diedAt)
	require.Equal(t, isolator.Clear, s.crashStatus(3))
	s.recordCrash(runs["c"], "u0", diedAt)
	require.Equal(t, isolator.Suspect, s.crashStatus(3))
}

// A request that takes an upstream after its death, before the death is known,
// is not implicated in it.
func TestLaterRequestIsNotInCrashRecord(t *testing.T) {
	s := testServer(t, "e1", nil, &crashingUpstream{})
	diedAt := s.now()
	victim := &request{id: "a", fingerprint: 1, lastUpstream: "u0", lastAttemptAt: diedAt.Add(-time.Second)}
	late := &request{id: "b", fingerprint: 2, lastUpstream: "u0", lastAttemptAt: diedAt.Add(time.Millisecond)}
	s.runs.addIfAbsent(victim)
	s.runs.addIfAbsent(late)
	s.recordCrash(victim, "u0", diedAt)
	require.Equal(t, isolator.Suspect, s.crashStatus(1))
	require.Equal(t, isolator.Clear, s.crashStatus(2))
}

// A suspect may join another that has made its first parts, but not one that
// was in flight at all the same deaths.
func TestSuspectsWithSameCrashesShareNoUpstream(t *testing.T) {
	s := testServer(t, "e1", nil, &crashingUpstream{})
	now := s.now()
	a, b, c := &request{fingerprint: 1}, &request{fingerprint: 2}, &request{fingerprint: 3}
	s.state.isolator.RecordCrash(now, "u0", []isolator.Fingerprint{1, 2})
	s.state.isolator.RecordCrash(now, "u1", []isolator.Fingerprint{3})
	s.state.suspects["u2"] = []suspectRun{{request: a}}
	require.False(t, s.state.mayShareUpstream(now, c, s.state.suspects["u2"]))
	s.markProgressed(a)
	require.True(t, s.state.mayShareUpstream(now, c, s.state.suspects["u2"]))
	require.False(t, s.state.mayShareUpstream(now, b, s.state.suspects["u2"]))
	s.endIsolation(a)
	require.Empty(t, s.state.suspects)
}

// lateUpstream is an upstream whose answer to a call arrives while it is asked for
// the second time what became of the call.
type lateUpstream struct {
	dispatcher.UpstreamClient
	probes      int
	secondProbe chan struct{}
}

func (a *lateUpstream) Progress(context.Context, dispatcher.Target, string, int) (dispatcher.Progress, error) {
	if a.probes++; a.probes == 2 {
		close(a.secondProbe)
	}
	return dispatcher.Progress{Found: true, Done: true}, nil
}

func (a *lateUpstream) Call(ctx context.Context, _ dispatcher.Target, _ dispatcher.Call) (dispatcher.Response, error) {
	<-ctx.Done()
	select {
	case <-a.secondProbe:
		return dispatcher.Response{Status: http.StatusOK}, nil
	default:
		return dispatcher.Response{}, ctx.Err()
	}
}

// An answer that has come by the time the call is given up is the answer.
func TestResponseBeforeProbeResult(t *testing.T) {
	s := testServer(t, "e1", nil, &lateUpstream{secondProbe: make(chan struct{})})
	reply, err := s.callWithProbes(context.Background(), &serviceCall{}, dispatcher.Target{ID: "u0"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, reply.Status)
}
