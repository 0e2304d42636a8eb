package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/leaser"
)

const testGap = 3 * time.Second

// A round that had begun to wait for the release of the lease went on after it, and acted
// beside the next leader.
func TestNoRoundActsAfterTheRelease(t *testing.T) {
	clock := &clock{now: time.UnixMilli(1_700_000_000_000)}
	m := newLeaderModel(t, clock, newTurnCloud(t, clock.read, testGap), 2)
	clock.advance(testGap + leaseHeadroom)
	m.round(0)
	require.True(t, m.entries[0].leader.holdsLease())
	m.entries[0].stopping.Store(true)
	m.entries[0].leader.release(context.Background())
	m.round(1)
	require.True(t, m.entries[1].leader.holdsLease())
	m.round(0)
	require.Equal(t, 1, m.leaders())
}

// A call to the cloud had an unknown outcome when the process stopped. The lease was
// released, so that the next leader's calls could arrive before it.
func TestLeaseIsNotReleasedAfterAnUnknownOutcome(t *testing.T) {
	clock := &clock{now: time.UnixMilli(1_700_000_000_000)}
	m := newLeaderModel(t, clock, newTurnCloud(t, clock.read, testGap), 2)
	m.round(0)
	l := m.entries[0].leader
	lost := func(context.Context, term) error { return errNoStore }
	_, err := l.callCloud(context.Background(), lost)
	require.Error(t, err)
	version := m.store.number
	m.entries[0].stopping.Store(true)
	l.release(context.Background())
	require.Equal(t, version, m.store.number)
	require.False(t, l.holdsLease())
}

// The process was paused between two looks at the clock, and a call lasted until the end
// of the lease.
func TestPauseAtTheBeginningOfACall(t *testing.T) {
	g, c := newGateway(t, &fakeCloud{})
	start, looks := c.now, 0
	g.leader = newLeader(g)
	g.leader.lease.RecordWrite(start, 1, leaser.Lease{Holder: processName(g.cfg.ID, g.boot), Fence: 1})
	now := start.Add(2750 * time.Millisecond)
	g.cfg.LeaseNow = func() time.Time {
		if looks++; looks == 2 {
			now = now.Add(249 * time.Millisecond)
		}
		return now
	}
	_, err := g.leader.callCloud(context.Background(), func(ctx context.Context, _ term) error {
		deadline, bounded := ctx.Deadline()
		require.True(t, bounded)
		end := now.Add(time.Until(deadline)).Sub(start)
		require.LessOrEqual(t, end, testGap+leaseHeadroom-arrivalMargin)
		return nil
	})
	require.NoError(t, err)
}
