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

// dying is an upstream that still takes connections for a moment after it has
// cut those that were open.
type dying struct {
	dispatcher.UpstreamClient
	resets int
}

func (d *dying) Load(context.Context, dispatcher.Target) (dispatcher.Load, error) {
	d.resets--
	if d.resets >= 0 {
		return dispatcher.Load{}, judge.Errorf(judge.MayHaveRun, "reset")
	}
	return dispatcher.Load{}, judge.Errorf(judge.NotRun, "refused")
}

// A death is seen although the dying process took the first probes.
func TestDeathIsSeenThroughResets(t *testing.T) {
	s := testServer(t, "e1", nil, &dying{resets: 2})
	r := &request{fingerprint: 7}
	cause := judge.Errorf(judge.MayHaveRun, "EOF")
	require.True(t, s.investigate(context.Background(), r, dispatcher.Target{ID: "u0"}, s.now(), cause))
	require.Equal(t, isolator.Suspect, s.standing(7))
}

// made is an upstream that has made a number of parts of any attempt.
type made struct {
	dispatcher.UpstreamClient
	parts int
}

func (m *made) Progress(context.Context, dispatcher.Target, string, int) (dispatcher.Progress, error) {
	return dispatcher.Progress{Found: true, Tokens: m.parts}, nil
}

// An entry that is slow to read what has arrived does not take the connection
// for silent. One that gets nothing between two looks does.
func TestPartsReadLateAreNotSilence(t *testing.T) {
	upstream := &made{parts: 5}
	s := testServer(t, "e1", nil, upstream)
	ended := false
	r := &request{id: "a", cancelAttempt: func() { ended = true }}
	w := s.watchdog(context.Background(), r, dispatcher.Target{ID: "u0"}, 1, 0)
	defer w.stop()
	w.bark(context.Background())
	require.False(t, ended, "the parts may be on their way")
	w.progress(s.now(), 5)
	upstream.parts = 9
	w.bark(context.Background())
	require.False(t, ended, "parts have arrived since")
	w.bark(context.Background())
	require.True(t, ended)
	require.ErrorContains(t, w.explain(nil), "went silent")
}

// The first request that finds a death names all that were in flight, later
// ones only themselves.
func TestOneFindingOfADeathNamesAll(t *testing.T) {
	s := testServer(t, "e1", nil, &dying{})
	runs := map[string]*request{}
	for i, id := range []string{"a", "b", "c"} {
		runs[id] = &request{id: id, fingerprint: isolator.Fingerprint(i + 1), lastUpstream: "u0", lastAttemptAt: s.now()}
	}
	diedAt := s.now().Add(time.Millisecond)
	s.runs.addIfAbsent(runs["a"])
	s.runs.addIfAbsent(runs["b"])
	s.implicate(runs["a"], "u0", diedAt)
	require.Equal(t, isolator.Suspect, s.standing(1))
	require.Equal(t, isolator.Suspect, s.standing(2))
	s.runs.addIfAbsent(runs["c"])
	s.implicate(runs["b"], "u0", diedAt)
	require.Equal(t, isolator.Clear, s.standing(3))
	s.implicate(runs["c"], "u0", diedAt)
	require.Equal(t, isolator.Suspect, s.standing(3))
}

// A request that takes an upstream after its death, before the death is known,
// is not implicated in it.
func TestLateComerIsNotImplicated(t *testing.T) {
	s := testServer(t, "e1", nil, &dying{})
	diedAt := s.now()
	victim := &request{id: "a", fingerprint: 1, lastUpstream: "u0", lastAttemptAt: diedAt.Add(-time.Second)}
	late := &request{id: "b", fingerprint: 2, lastUpstream: "u0", lastAttemptAt: diedAt.Add(time.Millisecond)}
	s.runs.addIfAbsent(victim)
	s.runs.addIfAbsent(late)
	s.implicate(victim, "u0", diedAt)
	require.Equal(t, isolator.Suspect, s.standing(1))
	require.Equal(t, isolator.Clear, s.standing(2))
}

// A suspect may join another that has made its first parts, but not one that
// was in flight at all the same deaths.
func TestSuspectsThatLookAlikeStayApart(t *testing.T) {
	s := testServer(t, "e1", nil, &dying{})
	now := s.now()
	a, b, c := &request{fingerprint: 1}, &request{fingerprint: 2}, &request{fingerprint: 3}
	s.state.isolator.RecordCrash(now, "u0", []isolator.Fingerprint{1, 2})
	s.state.isolator.RecordCrash(now, "u1", []isolator.Fingerprint{3})
	s.state.suspects["u2"] = []suspect{{request: a}}
	require.False(t, s.state.mayJoin(now, c, s.state.suspects["u2"]))
	s.prove(a)
	require.True(t, s.state.mayJoin(now, c, s.state.suspects["u2"]))
	require.False(t, s.state.mayJoin(now, b, s.state.suspects["u2"]))
	s.endSolo(a)
	require.Empty(t, s.state.suspects)
}

// answering is an upstream whose answer to a call arrives while it is asked for
// the second time what became of the call.
type answering struct {
	dispatcher.UpstreamClient
	looks  int
	second chan struct{}
}

func (a *answering) Progress(context.Context, dispatcher.Target, string, int) (dispatcher.Progress, error) {
	if a.looks++; a.looks == 2 {
		close(a.second)
	}
	return dispatcher.Progress{Found: true, Done: true}, nil
}

func (a *answering) Call(ctx context.Context, _ dispatcher.Target, _ dispatcher.Call) (dispatcher.Response, error) {
	<-ctx.Done()
	select {
	case <-a.second:
		return dispatcher.Response{Status: http.StatusOK}, nil
	default:
		return dispatcher.Response{}, ctx.Err()
	}
}

// An answer that has come by the time the call is given up is the answer.
func TestAnswerBeforeFindings(t *testing.T) {
	s := testServer(t, "e1", nil, &answering{second: make(chan struct{})})
	reply, err := s.watchedCall(context.Background(), &serviceCall{}, dispatcher.Target{ID: "u0"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, reply.Status)
}
