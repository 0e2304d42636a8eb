package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/logger"
	"github.com/galenahitch/galenahitch/pkg/router"
)

// newSignalGateway returns a gateway with two listed upstreams and its log.
func newSignalGateway(t *testing.T) (*Gateway, *clock, *bytes.Buffer) {
	t.Helper()
	g, c := newGateway(t, nil)
	var log bytes.Buffer
	var err error
	g.state.log, err = logger.New(&log, "info")
	require.NoError(t, err)
	for _, name := range []string{"u", "v"} {
		g.state.upstreams[name] = Upstream{Name: name, Upstream: router.Upstream{ID: name + ".1", Deployment: "model", Slots: 8}}
	}
	g.state.updateRouter(c.now)
	return g, c, &log
}

// A caller was asked to come back before any upstream would take its request.
func TestRetryAfterIsThatOfTheFirstUpstream(t *testing.T) {
	g, c, _ := newSignalGateway(t)
	pending := &call{deployment: "model"}
	require.Less(t, g.retryAfter(pending), 2*retryDelay)
	g.recordSignals("u.1", ResponseInfo{RetryAfter: 8 * time.Second})
	require.Less(t, g.retryAfter(pending), 2*retryDelay, "the other upstream takes requests")
	g.recordSignals("v.1", ResponseInfo{RetryAfter: 4 * time.Second})
	_, ok := g.chooseUpstream(pending)
	require.False(t, ok)
	first := g.state.router.Admission(c.now, "v.1").Until.Sub(c.now)
	seen := map[time.Duration]bool{}
	for range 100 {
		wait := g.retryAfter(pending)
		require.Greater(t, wait, first)
		require.Less(t, wait, 2*first)
		seen[wait] = true
	}
	require.Greater(t, len(seen), 50, "the callers are spread")
	c.advance(first)
	require.True(t, g.maySend("v.1"))
	require.False(t, g.maySend("u.1"))
}

// An upstream that says that it leaves and stays gets nothing before it starts again. The
// operator is told.
func TestDisputedLeaving(t *testing.T) {
	g, c, log := newSignalGateway(t)
	st := g.state
	g.recordSignals("u.1", ResponseInfo{Leaving: true})
	require.False(t, g.maySend("u.1"))
	st.updateDisputedLeavings(c.now)
	require.Empty(t, st.disputedLeavings)
	c.advance(disputeAge)
	for range 3 {
		st.updateRouter(c.now)
		st.updateDisputedLeavings(c.now)
	}
	require.Equal(t, map[string]bool{"u.1": true}, st.disputedLeavings)
	require.Equal(t, 1, strings.Count(log.String(), "event=upstream_leaving_disputed"))
	require.False(t, g.maySend("u.1"))
	u := st.upstreams["u"]
	u.ID = "u.2"
	st.upstreams["u"] = u
	st.updateRouter(c.now)
	st.updateDisputedLeavings(c.now)
	require.Empty(t, st.disputedLeavings)
	require.True(t, g.maySend("u.2"))
}

// The response of a process that has taken an upstream's address says nothing of it.
func TestSignalsOfOtherProcessesAreIgnored(t *testing.T) {
	g, _, _ := newSignalGateway(t)
	g.recordSignals("u.1", ResponseInfo{Misdirected: true, Leaving: true, RetryAfter: time.Second})
	require.True(t, g.maySend("u.1"))
}

// An upstream whose connection broke was probed although it had asked for time.
func TestNoProbeDuringABackoff(t *testing.T) {
	g, c, _ := newSignalGateway(t)
	u := g.state.upstreams["u"]
	g.recordSignals(u.ID, ResponseInfo{RetryAfter: time.Second})
	broken := &call{deployment: "model", upstream: u, attemptAt: c.now}
	require.Nil(t, g.recordBroken(t.Context(), broken, u, &failure{connectionBroke: true}))
	require.Empty(t, g.state.crashes.probes)
}

// Each time in which an upstream is avoided is logged with its cause, at both ends.
func TestAvoidedUpstreamsAreLogged(t *testing.T) {
	g, c, log := newSignalGateway(t)
	g.recordSignals("u.1", ResponseInfo{RetryAfter: time.Second})
	g.recordSignals("v.1", ResponseInfo{Leaving: true})
	c.advance(5 * time.Second)
	g.state.logAvoided(c.now)
	delete(g.state.upstreams, "v")
	g.state.updateRouter(c.now)
	g.state.logAvoided(c.now)
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	require.Len(t, lines, 4, log.String())
	for i, want := range []string{"event=upstream_avoided cause=backoff", "event=upstream_avoided cause=leaving", "event=upstream_avoidance_ended cause=backoff", "event=upstream_avoidance_ended cause=leaving"} {
		for _, part := range strings.Fields(want) {
			require.Contains(t, lines[i], part)
		}
	}
	require.Contains(t, lines[2], "lasted=5000")
	require.Contains(t, lines[3], "now=unlisted")
}

// The list was outdated when an upstream said that it leaves, or asked for time: the list
// had an earlier run of its process. When the row of the run that had said so arrived, it
// got requests.
func TestSignalsOfARunThatIsListedLater(t *testing.T) {
	g, c, _ := newSignalGateway(t)
	st := g.state
	list := func(id string, startedAt time.Time) {
		u := st.upstreams["u"]
		u.ID, u.StartedAt = id, startedAt
		st.upstreams["u"] = u
		st.updateRouter(c.now)
		st.repeatSignals(c.now)
	}
	list("u.2", c.now.Add(-time.Minute))
	g.recordSignals("u.2", ResponseInfo{Leaving: true})
	list("u.3", c.now.Add(-time.Second))
	require.False(t, g.maySend("u.3"))
	list("u.4", c.now.Add(time.Millisecond))
	require.True(t, g.maySend("u.4"), "it started later")
	list("u.5", time.Time{})
	require.True(t, g.maySend("u.5"), "its start is not known")
	c.advance(2 * saidSignalsLifetime)
	list("u.6", c.now.Add(-2*saidSignalsLifetime))
	require.True(t, g.maySend("u.6"))
	g.recordSignals("u.6", ResponseInfo{RetryAfter: 2 * time.Second})
	list("u.7", c.now.Add(-time.Second))
	require.Equal(t, router.CauseBackoff, st.router.Admission(c.now, "u.7").Cause)
	list("u.8", c.now.Add(time.Millisecond))
	require.True(t, g.maySend("u.8"))
	list("u.7", c.now.Add(-time.Second))
	c.advance(3 * time.Second)
	st.repeatSignals(c.now)
	require.True(t, g.maySend("u.7"))
}
