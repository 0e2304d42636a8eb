package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/mover"
)

// The new version's responses begin in time and take twice as long. It must be rolled
// back by the pauses between their parts.
func TestSlowResponsesAreRolledBack(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	s := newState(Config{})
	respond := func(version string, pause time.Duration) (mover.Move, bool) {
		o := attemptOutcome{deployment: "model", route: "chat", version: version, firstToken: 100 * time.Millisecond, firstTokenTarget: time.Second}
		for i := range 10 {
			o.pauses.Observe(now.Add(time.Duration(i) * pause))
		}
		return s.recordOutcome(now, o)
	}
	for i := range 100 {
		respond("v1", time.Duration(20+i%8)*time.Millisecond)
	}
	s.mergeMove(mover.Start(now, mover.Move{ID: "m", Epoch: 1, Deployment: "model", From: "v1", To: "v2"}, "ana", time.Hour))
	for i := range 40 {
		respond("v1", time.Duration(20+i%8)*time.Millisecond)
		if m, rolledBack := respond("v2", time.Duration(40+2*(i%8))*time.Millisecond); rolledBack {
			require.Contains(t, m.Reason, "long pauses")
			return
		}
	}
	require.Fail(t, "the move was not rolled back")
}
