package gateway

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/mover"
)

// eraStore is a store that returns from an older copy and then gives out versions
// again.
type eraStore struct {
	era    uint64
	number uint64
	rows   map[string]provider.StoreRow
	copies []eraCopy
}

type eraCopy struct {
	number uint64
	rows   map[string]provider.StoreRow
}

func (s *eraStore) takeCopy() {
	s.copies = append(s.copies, eraCopy{number: s.number, rows: maps.Clone(s.rows)})
}

func (s *eraStore) returnTo(i int) {
	s.era++
	s.number, s.rows = s.copies[i].number, maps.Clone(s.copies[i].rows)
	s.copies = s.copies[:i+1]
}

// eraClient is one entry's client of an eraStore. It is unreachable, or loses the
// answer to the next commit.
type eraClient struct {
	store       *eraStore
	seen        uint64
	unreachable bool
	losesAnswer bool
	// If delays is set, the store does the next commit when doDelayed is called.
	delays  bool
	delayed []provider.Commit
	// beforeRead, if set, is called while a read is on its way to the store.
	beforeRead func()
}

func (c *eraClient) Era() uint64 { return c.seen }

func (c *eraClient) version(r provider.StoreRow) provider.StoreRow {
	r.Version = provider.NewVersion(c.store.era, uint64(r.Version))
	return r
}

func (c *eraClient) Read(_ context.Context, table string) (provider.Page, error) {
	if c.unreachable {
		return provider.Page{}, errNoStore
	}
	if c.beforeRead != nil {
		c.beforeRead()
	}
	c.seen = c.store.era
	page := provider.Page{Version: provider.NewVersion(c.seen, c.store.number)}
	for _, r := range c.store.rows {
		if r.Table == table {
			page.Rows = append(page.Rows, c.version(r))
		}
	}
	return page, nil
}

func (c *eraClient) Watch(context.Context, string, provider.Version, time.Duration) (provider.Page, error) {
	return provider.Page{}, errNoStore
}

func (c *eraClient) Commit(_ context.Context, change provider.Commit) (provider.CommitResult, error) {
	if c.unreachable {
		return provider.CommitResult{}, errNoStore
	}
	if c.delays {
		c.delays = false
		c.delayed = append(c.delayed, change)
		return provider.CommitResult{}, errNoStore
	}
	for _, e := range change.Expect {
		if e.Version != 0 && e.Version.Era() != c.seen {
			return provider.CommitResult{}, provider.Refused.New("earlier era")
		}
	}
	era := c.seen
	c.seen = c.store.era
	var current []provider.StoreRow
	for _, e := range change.Expect {
		r, ok := c.store.rows[e.Table+"/"+e.Key]
		if uint64(r.Version) != e.Version.Number() {
			if ok {
				current = append(current, c.version(r))
			}
			return provider.CommitResult{Current: current}, nil
		}
	}
	c.store.number++
	for _, r := range change.Put {
		r.Version = provider.Version(c.store.number)
		c.store.rows[r.Table+"/"+r.Key] = r
	}
	for _, r := range change.Delete {
		delete(c.store.rows, r.Table+"/"+r.Key)
	}
	if c.losesAnswer || era != c.store.era {
		c.losesAnswer = false
		return provider.CommitResult{}, errNoStore
	}
	return provider.CommitResult{Applied: true, Version: provider.NewVersion(c.store.era, c.store.number)}, nil
}

// doDelayed does the commits that were delayed, if their conditions still hold, and
// returns how many took effect.
func (c *eraClient) doDelayed() int {
	delayed, applied := c.delayed, 0
	c.delayed = nil
	for _, change := range delayed {
		late := eraClient{store: c.store, seen: c.seen}
		if result, err := late.Commit(context.Background(), change); err == nil && result.Applied {
			applied++
		}
	}
	return applied
}

// strictCloud fails if a fence falls or has two holders, or if two reports of a window
// differ.
type strictCloud struct {
	t       require.TestingT
	newest  uint64
	holders map[uint64]string
	usage   map[int64]string
}

func (c *strictCloud) check(holder string, fence uint64) {
	require.GreaterOrEqual(c.t, fence, c.newest, "a fence fell")
	c.newest = fence
	if known, ok := c.holders[fence]; ok {
		require.Equal(c.t, known, holder, "fence %d", fence)
	}
	c.holders[fence] = holder
}

func (c *strictCloud) Report(_ context.Context, u Usage) error {
	c.check(u.Holder, u.Fence)
	counts := fmt.Sprint(u.Counts)
	if known, ok := c.usage[u.Window]; ok {
		require.Equal(c.t, known, counts, "window %d", u.Window)
	}
	c.usage[u.Window] = counts
	return nil
}

func (c *strictCloud) Order(_ context.Context, o FleetOrder) error {
	c.check(o.Holder, o.Fence)
	return nil
}

// Three entries compete for the lease while the store returns from older copies, is
// unreachable for some of them and loses answers, and entries pause and restart. No
// fence may fall or have two holders, and no window may be reported with two counts.
// After the last fault there is a leader again.
func TestLeadersOverEras(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := &eraStore{rows: map[string]provider.StoreRow{}, era: uint64(rapid.IntRange(0, 1).Draw(rt, "first era"))}
		cloud := &strictCloud{t: rt, holders: map[uint64]string{}, usage: map[int64]string{}}
		shared := &clock{now: time.UnixMilli(1_700_000_000_000)}
		clients := make([]*eraClient, 3)
		entries := make([]*Gateway, 3)
		start := func(i int) {
			g, _ := newGateway(t, cloud)
			clients[i] = &eraClient{store: store}
			g.cfg.ID = fmt.Sprint("e", i)
			g.cfg.Store, g.cfg.Now, g.cfg.LeaseNow, g.startedAt, g.boot = clients[i], shared.read, shared.read, shared.now, uint64(shared.now.UnixMilli())
			g.cfg.Tables.Leases = "leases"
			g.state.cfg = g.cfg
			g.state.startedAt = shared.now
			g.leader = newLeader(g)
			entries[i] = g
		}
		for i := range entries {
			start(i)
		}
		store.takeCopy()
		paused := map[int]bool{}
		runRounds := func(rounds int) {
			for range rounds {
				for i, g := range entries {
					if !paused[i] {
						g.state.accountant.CountStart(shared.now, "luna")
						g.leader.round(context.Background())
					}
				}
				shared.advance(500 * time.Millisecond)
			}
		}
		for range rapid.IntRange(10, 60).Draw(rt, "steps") {
			i := rapid.IntRange(0, 2).Draw(rt, "entry")
			switch rapid.IntRange(0, 9).Draw(rt, "action") {
			case 0:
				store.takeCopy()
			case 1:
				store.returnTo(rapid.IntRange(max(0, len(store.copies)-3), len(store.copies)-1).Draw(rt, "copy"))
			case 2:
				clients[i].losesAnswer = true
			case 3:
				clients[i].unreachable = !clients[i].unreachable
			case 4:
				paused[i] = !paused[i]
			case 5:
				entries[i].leader.release(context.Background())
				start(i)
			default:
				runRounds(rapid.IntRange(1, 12).Draw(rt, "rounds"))
			}
		}
		clear(paused)
		for _, c := range clients {
			c.unreachable = false
		}
		runRounds(40)
		leaders := 0
		for _, g := range entries {
			if g.leader.holdsLease() {
				leaders++
			}
		}
		require.Equal(rt, 1, leaders, "leaders after the faults")
		for _, g := range entries {
			require.LessOrEqual(rt, len(g.leader.usage.eras), maxEraRows+1)
		}
		eraRows := 0
		for key := range store.rows {
			if strings.HasPrefix(key, "leases/"+eraKeyPrefix) {
				eraRows++
			}
		}
		require.LessOrEqual(rt, eraRows, maxEraRows+1, "rows about eras")
	})
}

// The operator's order of a move is written again after the store has returned from an
// older copy. A version that had been rolled back was tried a second time.
func TestRepeatedOrderKeepsTheMove(t *testing.T) {
	g, c := newGateway(t, nil)
	st := g.state
	order := MoveOrder{Deployment: "model", To: "v2", FinishWithin: time.Minute}
	st.startMove(c.now, order, provider.NewVersion(1, 90), false)
	st.setMoveState(st.moves["model"], mover.RolledBack, "bad")
	st.moves["model"].writtenState = mover.RolledBack
	st.startMove(c.now, order, provider.NewVersion(2, 60), false)
	require.Equal(t, mover.RolledBack, st.moves["model"].state)
	require.Empty(t, st.moves["model"].writtenState, "the status may be lost")
	st.startMove(c.now, order, provider.NewVersion(1, 95), false)
	require.Equal(t, provider.NewVersion(2, 60), st.moves["model"].epoch, "an order of an earlier era")
	st.startMove(c.now, order, provider.NewVersion(2, 70), false)
	require.Equal(t, mover.Moving, st.moves["model"].state, "the operator repeats the order")
}

// The store lost the row of a quarantined request when it returned from an older copy. The
// request was sent to upstreams again.
func TestLostQuarantineIsWrittenAgain(t *testing.T) {
	g, c := newGateway(t, nil)
	st := g.state
	row := provider.StoreRow{Key: poison.String(), Value: []byte(`{"since_ms":1700000000000,"crashes":4}`), Version: provider.NewVersion(1, 90)}
	st.applyQuarantineRows(c.now, []provider.StoreRow{row})
	lost := provider.StoreRow{Key: row.Key, Version: provider.NewVersion(2, 50), Deleted: true}
	st.applyQuarantineRows(c.now, []provider.StoreRow{lost})
	require.NotNil(t, g.refuseQuarantined(&call{fingerprint: poison}))
	require.Empty(t, st.quarantineChange(c.now, false).Put)
	// Those who saw the crashes had ended, and the new era had no leader for 4 s.
	require.Len(t, st.quarantineChange(c.now.Add(lostRowDelay), false).Put, 1)
	change := st.quarantineChange(c.now, true)
	require.Len(t, change.Put, 1)
	require.Zero(t, change.Expect[0].Version)
	row.Version = provider.NewVersion(2, 51)
	st.applyQuarantineRows(c.now, []provider.StoreRow{row})
	require.Empty(t, st.quarantineChange(c.now, true).Put)
	lost.Version = provider.NewVersion(2, 52)
	st.applyQuarantineRows(c.now, []provider.StoreRow{lost})
	require.Nil(t, g.refuseQuarantined(&call{fingerprint: poison}), "its row was deleted")
}

// An entry that reads the agreed counts of usage again and again, and never reports them,
// kept those of all windows.
func TestAgreedCountsAreBounded(t *testing.T) {
	g, _ := newGateway(t, nil)
	for w := range 1000 {
		g.leader.usage.addAgreedRows(provider.Page{Rows: []provider.StoreRow{{Key: fmt.Sprint(usageKeyPrefix, w), Value: []byte(`{"luna":1}`)}}})
	}
	require.LessOrEqual(t, len(g.leader.usage.agreedCounts), 2*keptUsageWindows+1)
	require.Contains(t, g.leader.usage.agreedCounts, int64(999))
}
