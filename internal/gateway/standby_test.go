package gateway

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/pooler"
	"github.com/galenahitch/galenahitch/pkg/judge"
)

// A response that this entry had no memory for counted as a failure of its upstream, and of
// the version that it runs.
func TestOwnLackOfMemoryIsNoFailureOfTheUpstream(t *testing.T) {
	g, c, _ := newSignalGateway(t)
	u := g.state.upstreams["u"]
	pending := &call{deployment: "model", upstream: u, attemptAt: c.now}
	for range 20 {
		f := truncatedResponse(t.Context(), &pooler.Response{Framing: pooler.FramingChunked}, errNoMemory)
		require.Nil(t, g.recordAttemptFailure(t.Context(), pending, u, f))
	}
	require.True(t, g.state.router.Admission(c.now, u.ID).Allowed())
	require.Empty(t, g.state.crashes.probes)
}

// An attempt that was dropped because the silent one went on was recorded as if its caller
// had left. It is no failure of its upstream, and no sign of a crash.
func TestDroppedAttemptsAreNoFailures(t *testing.T) {
	g, c, log := newSignalGateway(t)
	g.cfg.Log = g.state.log
	u := g.state.upstreams["u"]
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(errNotNeeded)
	dropped := &call{deployment: "model", upstream: u, attemptAt: c.now}
	for range 20 {
		f := &failure{verdict: judge.MayHaveRun, cause: judge.Wrap(judge.MayHaveRun, context.Cause(ctx), "exchange")}
		require.Nil(t, g.recordAttemptFailure(ctx, dropped, u, f))
	}
	require.True(t, g.state.router.Admission(c.now, u.ID).Allowed())
	for _, b := range g.state.crashes.broken[u.ID] {
		require.True(t, b.abandoned)
	}
	require.Contains(t, log.String(), errNotNeeded.Error())
}
