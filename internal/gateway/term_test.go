package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/provider"
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

// modelInEra returns a model whose store is in its first era and has a copy in which the
// lease was released by the last of three entries.
func modelInEra(t *testing.T) (*leaderModel, *clock) {
	clock := &clock{now: time.UnixMilli(1_700_000_000_000)}
	m := newLeaderModel(t, clock, newTurnCloud(t, clock.read, testGap), 3)
	m.store.era = 1
	m.store.takeCopy()
	for range 2 {
		m.round(2)
		clock.advance(testGap + leaseHeadroom)
	}
	m.round(2)
	m.entries[2].leader.release(context.Background())
	m.store.takeCopy()
	m.round(0)
	clock.advance(20 * time.Second)
	m.round(0)
	require.True(t, m.entries[0].leader.holdsLease())
	return m, clock
}

// The store returned from a copy in which the lease was released. An entry that had not
// read the lease before took it at once, while the leader of the lost row acted.
func TestFirstReadOfTheLeaseInALaterEra(t *testing.T) {
	m, _ := modelInEra(t)
	m.store.returnTo(1)
	m.round(1)
	require.LessOrEqual(t, m.leaders(), 1)
}

// The store returned from a copy without the lease. An entry that started then took it at
// once, while the leader of the lost row acted.
func TestStartInALaterEra(t *testing.T) {
	m, _ := modelInEra(t)
	m.store.returnTo(0)
	m.start(1)
	m.round(1)
	require.LessOrEqual(t, m.leaders(), 1)
}

// The lease of an earlier era was taken over while calls of its last holder could still be
// under way.
func TestTakeOverInALaterEraWaitsForCalls(t *testing.T) {
	m, clock := modelInEra(t)
	m.entries[1].leader.observeEra(clock.now, 1)
	renewed := clock.now
	m.store.returnTo(1)
	m.clients[0].unreachable = true
	for !m.entries[1].leader.holdsLease() {
		m.round(1)
		clock.advance(10 * time.Millisecond)
	}
	lastArrival := testGap + leaseHeadroom - arrivalMargin
	require.GreaterOrEqual(t, clock.now.Sub(renewed), lastArrival)
}

// The lease's row was deleted or spoilt: fences began again at 1, a row without a holder
// was taken for a released lease, and with one that can't be decoded there was no leader
// any more.
func TestSpoiltLeaseRows(t *testing.T) {
	for _, value := range []string{"", "{}", "null", "[", `{"holder":7}`} {
		clock := &clock{now: time.UnixMilli(1_700_000_000_000)}
		m := newLeaderModel(t, clock, newTurnCloud(t, clock.read, testGap), 2)
		clock.advance(20 * time.Second)
		m.round(0)
		fence := m.entries[0].leader.lease.Fence()
		m.clients[0].unreachable = true
		key := "leases/" + leaseKey
		m.store.number++
		if value == "" {
			delete(m.store.rows, key)
			clock.advance(testGap + leaseHeadroom)
		} else {
			m.store.rows[key] = provider.StoreRow{Table: "leases", Key: leaseKey, Value: []byte(value), Version: provider.Version(m.store.number)}
		}
		spoiltAt := clock.now
		for !m.entries[1].leader.holdsLease() {
			require.Less(t, clock.now.Sub(spoiltAt), 10*time.Second, "%q", value)
			m.round(0)
			m.round(1)
			require.LessOrEqual(t, m.leaders(), 1, "%q", value)
			clock.advance(250 * time.Millisecond)
		}
		require.Greater(t, m.entries[1].leader.lease.Fence(), fence, "%q", value)
	}
}
