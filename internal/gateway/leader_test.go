package gateway

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/leaser"
)

// turnCloud fails if the leaders' calls arrive in the order A, B, A within the gap, in
// addition to what strictCloud checks.
type turnCloud struct {
	strictCloud
	now  func() time.Time
	gap  time.Duration
	last map[string]time.Time
	turn string
}

func newTurnCloud(t require.TestingT, now func() time.Time, gap time.Duration) *turnCloud {
	return &turnCloud{strictCloud: strictCloud{t: t, holders: map[uint64]string{}, usage: map[int64]string{}}, now: now, gap: gap, last: map[string]time.Time{}}
}

func (c *turnCloud) checkTurn(holder string) {
	at := c.now()
	if last, known := c.last[holder]; known && c.turn != holder {
		require.Greater(c.t, at.Sub(last), c.gap, "%s acted, then %s, then %s again", holder, c.turn, holder)
	}
	c.turn, c.last[holder] = holder, at
}

func (c *turnCloud) Report(ctx context.Context, u Usage) error {
	c.checkTurn(u.Holder)
	return c.strictCloud.Report(ctx, u)
}

func (c *turnCloud) Order(ctx context.Context, o FleetOrder) error {
	c.checkTurn(o.Holder)
	return c.strictCloud.Order(ctx, o)
}

// leaderModel is a number of entries that compete for the lease of a store. They get no
// messages of each other but by tell.
type leaderModel struct {
	t       *testing.T
	store   *eraStore
	cloud   Cloud
	clock   *clock
	clients []*eraClient
	entries []*Gateway
}

func newLeaderModel(t *testing.T, clock *clock, cloud Cloud, entries int) *leaderModel {
	m := &leaderModel{
		t: t, store: &eraStore{rows: map[string]provider.StoreRow{}}, cloud: cloud, clock: clock,
		clients: make([]*eraClient, entries), entries: make([]*Gateway, entries),
	}
	for i := range entries {
		m.start(i)
	}
	return m
}

// start starts a new process of an entry.
func (m *leaderModel) start(i int) {
	g, _ := newGateway(m.t, m.cloud)
	m.clients[i] = &eraClient{store: m.store}
	g.cfg.ID = fmt.Sprint("e", i)
	g.cfg.Store, g.cfg.Now, g.cfg.LeaseNow, g.startedAt, g.boot = m.clients[i], m.clock.read, m.clock.read, m.clock.now, uint64(m.clock.now.UnixMilli())
	g.cfg.Tables.Leases = "leases"
	g.state.cfg = g.cfg
	g.state.startedAt = m.clock.now
	g.leader = newLeader(g)
	m.entries[i] = g
}

// round runs one round of an entry, in which requests have started. The leader sends an
// order in each round.
func (m *leaderModel) round(i int) {
	l := m.entries[i].leader
	m.entries[i].state.accountant.CountStart(m.clock.now, "luna")
	l.round(context.Background())
	if l.holdsLease() {
		_, err := l.callCloud(context.Background(), func(ctx context.Context, term term) error {
			return m.cloud.Order(ctx, FleetOrder{Holder: term.entry, Fence: term.fence})
		})
		require.NoError(m.t, err)
	}
}

// tell delivers a message of one entry to another one.
func (m *leaderModel) tell(from, to int) {
	g := m.entries[from]
	g.state.mu.Lock()
	message := g.ownMessage(m.clock.now)
	g.state.mu.Unlock()
	m.entries[to].receive(m.clock.now, netip.AddrPort{}, message)
}

// target returns the leader if i is not the number of an entry and there is a leader.
func (m *leaderModel) target(i int) int {
	if i < len(m.entries) {
		return i
	}
	for j, g := range m.entries {
		if g.leader.holdsLease() {
			return j
		}
	}
	return i % len(m.entries)
}

func (m *leaderModel) leaders() int {
	leaders := 0
	for _, g := range m.entries {
		if g.leader.holdsLease() {
			leaders++
		}
	}
	return leaders
}

// A leader that was cut off from the store, and had called the cloud until its lease
// ended, took the lease that its successor released at once: calls of A, B and A arrived
// within the gap.
func TestReleasedLeaseIsLeftToOthersByItsLastLeader(t *testing.T) {
	clock := &clock{now: time.UnixMilli(1_700_000_000_000)}
	m := newLeaderModel(t, clock, newTurnCloud(t, clock.read, 3*time.Second), 2)
	run := func(d time.Duration) {
		for end := clock.now.Add(d); clock.now.Before(end); clock.advance(250 * time.Millisecond) {
			m.round(0)
			m.round(1)
		}
	}
	run(time.Second)
	require.True(t, m.entries[0].leader.holdsLease())
	m.clients[0].unreachable = true
	for !m.entries[1].leader.holdsLease() {
		run(250 * time.Millisecond)
	}
	m.clients[0].unreachable = false
	m.entries[1].leader.release(context.Background())
	m.start(1)
	run(10 * time.Second)
	require.Equal(t, 1, m.leaders())
}

// A read of the lease took 1.4 s, in which the leader renewed it. The row was dated by the
// start of the read, so that the lease was taken over while its holder still acted.
func TestLeaseIsObservedWhenItsReadEnds(t *testing.T) {
	clock := &clock{now: time.UnixMilli(1_700_000_000_000)}
	m := newLeaderModel(t, clock, newTurnCloud(t, clock.read, 3*time.Second), 2)
	m.round(0)
	require.True(t, m.entries[0].leader.holdsLease())
	m.clients[1].beforeRead = func() {
		clock.advance(1400 * time.Millisecond)
		m.round(0)
	}
	m.round(1)
	m.clients[1].beforeRead = nil
	m.clients[0].unreachable = true
	for !m.entries[1].leader.holdsLease() {
		m.round(0)
		m.round(1)
		require.LessOrEqual(t, m.leaders(), 1)
		clock.advance(50 * time.Millisecond)
	}
}

// The leader was killed. Its successor read the lease only then, and waited for the whole
// lifetime from there: reclaimed VMs were not replaced for more than five seconds.
func TestSuccessorWaitsFromTheLastRenewal(t *testing.T) {
	clock := &clock{now: time.UnixMilli(1_700_000_000_000)}
	m := newLeaderModel(t, clock, newTurnCloud(t, clock.read, 3*time.Second), 2)
	renewedAt := clock.now
	for range 60 {
		m.round(0)
		renewedAt = m.entries[0].leader.lease.Renewal().At
		m.tell(0, 1)
		m.round(1)
		clock.advance(gossipInterval)
	}
	require.True(t, m.entries[0].leader.holdsLease())
	for !m.entries[1].leader.holdsLease() {
		m.round(1)
		clock.advance(gossipInterval)
	}
	lifetime := 3*time.Second + leaseHeadroom
	require.Less(t, clock.now.Sub(renewedAt), lifetime+2*gossipInterval)
	require.GreaterOrEqual(t, clock.now.Sub(renewedAt), lifetime)
}

// A leader that was suspended went on with the lease of before, as the monotonic clock
// had stood still.
func TestSuspendedLeaderDoesNotAct(t *testing.T) {
	cloud := &fakeCloud{}
	g, c := newGateway(t, cloud)
	lease := &clock{now: c.now}
	g.cfg.LeaseNow = lease.read
	g.leader = newLeader(g)
	g.leader.lease.RecordWrite(lease.now, 1, leaser.Lease{Holder: processName(g.cfg.ID, g.boot), Fence: 1})
	require.True(t, g.leader.holdsLease())
	require.True(t, g.isLeaderNow())
	lease.advance(3 * time.Second)
	require.False(t, g.leader.holdsLease())
	require.False(t, g.isLeaderNow())
	_, err := g.leader.callCloud(context.Background(), func(context.Context, term) error {
		t.Error("the call was sent")
		return nil
	})
	require.True(t, errorx.IsOfType(err, provider.GuardFailed))
}

// A call that was sent in the last moment of a term could last as long as the margin of
// the lease, or longer if the machine was suspended.
func TestCallsEndBeforeTheLeaseExpires(t *testing.T) {
	g, c := newGateway(t, &fakeCloud{})
	var passed atomic.Int64
	g.cfg.LeaseNow = func() time.Time { return c.now.Add(time.Duration(passed.Load())) }
	g.leader = newLeader(g)
	g.leader.lease.RecordWrite(c.now, 1, leaser.Lease{Holder: processName(g.cfg.ID, g.boot), Fence: 1})
	passed.Store(int64(3*time.Second - time.Millisecond))
	_, err := g.leader.callCloud(context.Background(), func(ctx context.Context, term term) error {
		require.Equal(t, time.Millisecond, term.left)
		deadline, bounded := ctx.Deadline()
		require.True(t, bounded)
		require.Less(t, time.Until(deadline), leaseMargin-arrivalMargin+term.left)
		return nil
	})
	require.NoError(t, err)
	_, err = g.leader.callCloud(context.Background(), func(ctx context.Context, _ term) error {
		passed.Add(int64(leaseMargin))
		<-ctx.Done()
		require.ErrorIs(t, ctx.Err(), context.Canceled, "before its timer")
		return ctx.Err()
	})
	require.Error(t, err)
}

// A change of a leader took effect after the store had delayed it into the term of the
// next one.
func TestDelayedChangesOfAnEarlierTermAreRefused(t *testing.T) {
	clock := &clock{now: time.UnixMilli(1_700_000_000_000)}
	m := newLeaderModel(t, clock, newTurnCloud(t, clock.read, 3*time.Second), 2)
	m.round(0)
	change := provider.Commit{Put: []provider.StoreRow{{Table: "status", Key: "model", Value: []byte("done")}}}
	m.clients[0].delays = true
	_, err := m.entries[0].leader.commit(context.Background(), change)
	require.Error(t, err)
	m.clients[0].unreachable = true
	for !m.entries[1].leader.holdsLease() {
		m.round(0)
		m.round(1)
		clock.advance(250 * time.Millisecond)
	}
	require.Zero(t, m.clients[0].doDelayed())
	_, err = m.entries[0].leader.commit(context.Background(), change)
	require.True(t, errorx.IsOfType(err, provider.GuardFailed), "its term has ended")
	result, err := m.entries[1].leader.commit(context.Background(), change)
	require.NoError(t, err)
	require.True(t, result.Applied)
}

// In any history of cuts, releases, restarts, lost answers and delayed writes, leaders do
// not act in the order A, B, A within the gap, fences rise, and there is a leader in the
// end.
func TestLeadersDoNotActInTurn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := &clock{now: time.UnixMilli(1_700_000_000_000)}
		m := newLeaderModel(t, clock, newTurnCloud(rt, clock.read, 3*time.Second), 3)
		for range rapid.IntRange(10, 80).Draw(rt, "steps") {
			i := m.target(rapid.IntRange(0, 2*len(m.entries)).Draw(rt, "entry"))
			m.tell(rapid.IntRange(0, len(m.entries)-1).Draw(rt, "from"), rapid.IntRange(0, len(m.entries)-1).Draw(rt, "to"))
			switch rapid.IntRange(0, 11).Draw(rt, "action") {
			case 0:
				m.clients[i].losesAnswer = true
			case 1, 2:
				m.clients[i].unreachable = true
			case 3:
				for _, c := range m.clients {
					c.unreachable = false
				}
			case 4:
				m.entries[i].leader.release(context.Background())
				m.start(i)
			case 5:
				m.start(i)
			case 6:
				m.clients[i].delays = true
			case 7:
				m.clients[i].doDelayed()
			}
			for range rapid.IntRange(0, 4).Draw(rt, "rounds") {
				for i := range m.entries {
					m.round(i)
					clock.advance(time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond)
				}
			}
		}
		for _, c := range m.clients {
			c.unreachable = false
		}
		for range 40 {
			for i := range m.entries {
				m.round(i)
			}
			clock.advance(500 * time.Millisecond)
		}
		require.Equal(rt, 1, m.leaders(), "leaders after the faults")
	})
}
