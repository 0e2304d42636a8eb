package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
