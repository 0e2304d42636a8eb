package server

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/dispatcher"
	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/judge"
)

// dying is an upstream that still takes connections for a moment after it has
// cut those that were open.
type dying struct {
	dispatcher.Upstreams
	resets int
}

func (d *dying) Load(context.Context, dispatcher.Target) (dispatcher.Load, error) {
	d.resets--
	if d.resets >= 0 {
		return dispatcher.Load{}, judge.Mark(judge.MayHaveRun, "reset")
	}
	return dispatcher.Load{}, judge.Mark(judge.NotRun, "refused")
}

// A death is seen although the dying process took the first probes.
func TestDeathIsSeenThroughResets(t *testing.T) {
	s := testServer(t, "e1", nil, &dying{resets: 2})
	r := &request{fingerprint: 7}
	cause := judge.Mark(judge.MayHaveRun, "EOF")
	require.True(t, s.investigate(context.Background(), r, dispatcher.Target{ID: "u0"}, cause))
	require.Equal(t, isolator.Suspect, s.standing(7))
}

// The first request that finds a death names all that were in flight, later
// ones only themselves.
func TestOneFindingOfADeathNamesAll(t *testing.T) {
	s := testServer(t, "e1", nil, &dying{})
	runs := map[string]*request{}
	for i, id := range []string{"a", "b", "c"} {
		runs[id] = &request{id: id, fingerprint: isolator.Fingerprint(i + 1), lastOn: "u0"}
	}
	s.runs.start(runs["a"])
	s.runs.start(runs["b"])
	s.implicate(runs["a"], "u0")
	require.Equal(t, isolator.Suspect, s.standing(1))
	require.Equal(t, isolator.Suspect, s.standing(2))
	s.runs.start(runs["c"])
	s.implicate(runs["b"], "u0")
	require.Equal(t, isolator.Clear, s.standing(3))
	s.implicate(runs["c"], "u0")
	require.Equal(t, isolator.Suspect, s.standing(3))
}
