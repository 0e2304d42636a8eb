package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/charter"
	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/router"
)

var moveToV2 = MoveOrder{Deployment: "model", To: "v2", FinishWithin: 15 * time.Second}

// listVersions sets an entry's upstreams: numbers of upstreams of the current and of the
// new version.
func listVersions(g *Gateway, now time.Time, currentCount, newCount int) {
	st := g.state
	st.upstreams = map[string]Upstream{}
	for i := range currentCount + newCount {
		version := "v1"
		if i >= currentCount {
			version = moveToV2.To
		}
		id := fmt.Sprint("u", i)
		st.upstreams[id] = Upstream{Name: id, Upstream: router.Upstream{ID: id, Deployment: "model", Version: version, FailureDomain: "d0", Slots: 32}}
	}
	st.updateRouter(now)
}

// pickMany chooses upstreams for n calls. It returns how many calls got the new version,
// and the IDs of its upstreams that were chosen.
func pickMany(g *Gateway, n int) (newVersion int, upstreams map[string]bool) {
	upstreams = map[string]bool{}
	for i := range n {
		u, ok := g.chooseUpstream(&call{deployment: "model", request: Request{ID: fmt.Sprint(g.cfg.ID, "/", i)}})
		if ok && u.Version == moveToV2.To {
			newVersion++
			upstreams[u.ID] = true
		}
	}
	return newVersion, upstreams
}

// The new version fails half of its requests, and each of 40 entries sends it at most a
// few. Together the entries must roll it back within 40 rounds and send it no more
// requests. An entry that has just started must not send it any either.
func TestBadVersionIsRolledBackByAllEntries(t *testing.T) {
	c := newCluster(t, 40)
	for _, g := range c.entries {
		g.cfg.Moves = MoveLimits{ExposureShare: 0.1, ExposureAllowance: 50}
		g.state.cfg.Moves = g.cfg.Moves
		listVersions(g, c.clock.now, 18, 18)
	}
	c.rounds(6)
	for _, g := range c.entries {
		g.state.startMove(c.clock.now, moveToV2, 77, false)
	}
	for round := range 40 {
		for i, g := range c.entries {
			st := g.state
			chatCall := &call{deployment: "model"}
			chatCall.route.Name = "chat"
			st.recordOutcome(chatCall, Upstream{Upstream: router.Upstream{Version: "v1"}}, false, 100*time.Millisecond)
			if i%5 == 0 && round%3 == 0 && st.moves["model"].state == mover.Moving {
				st.recordOutcome(chatCall, Upstream{Upstream: router.Upstream{Version: moveToV2.To}}, i%2 == 0, 100*time.Millisecond)
			}
		}
		c.round()
	}
	for i, g := range c.entries {
		require.Equal(t, mover.RolledBack, g.state.moves["model"].state, "entry %d", i)
		newVersion, _ := pickMany(g, 50)
		require.Zero(t, newVersion)
		require.Empty(t, g.state.ownOutcomes, "its counters are deleted")
	}
	started := c.entries[39]
	started.state.moves = map[string]*move{}
	started.state.startMove(c.clock.now, moveToV2, 77, true)
	newVersion, _ := pickMany(started, 50)
	require.Zero(t, newVersion, "the status of the move is unread")
	c.rounds(2)
	require.Equal(t, mover.RolledBack, started.state.moves["model"].state)
}

// The new version's streams are twice as slow as those of the current one, and no request
// fails or begins late. All entries must roll it back before any stream has ended.
func TestSlowStreamsAreRolledBackBeforeTheyEnd(t *testing.T) {
	c := newCluster(t, 9)
	for _, g := range c.entries {
		listVersions(g, c.clock.now, 18, 18)
	}
	c.rounds(6)
	chatCall := &call{deployment: "model"}
	chatCall.route.Name = "chat"
	current, fresh := Upstream{Upstream: router.Upstream{Version: "v1"}}, Upstream{Upstream: router.Upstream{Version: moveToV2.To}}
	for i, g := range c.entries {
		for j := range 40 {
			g.state.recordPause(chatCall, current, time.Duration(20+(i+j)%8)*time.Millisecond)
		}
		g.state.startMove(c.clock.now, moveToV2, 77, false)
	}
	for range 10 {
		for i, g := range c.entries {
			g.state.recordPause(chatCall, current, time.Duration(20+i%8)*time.Millisecond)
			if g.state.moves["model"].state == mover.Moving {
				g.state.recordPause(chatCall, fresh, time.Duration(40+2*(i%8))*time.Millisecond)
			}
		}
		c.round()
	}
	for i, g := range c.entries {
		require.Equal(t, mover.RolledBack, g.state.moves["model"].state, "entry %d", i)
	}
}

// A packed share fills one upstream of the new version before it uses another, so that a
// fault of loaded upstreams shows while the share is small.
func TestPackedShareLoadsOneUpstream(t *testing.T) {
	g, c := newGateway(t, nil)
	g.state.cfg.Moves = MoveLimits{ExposureShare: 0.1}
	listVersions(g, c.now, 18, 18)
	g.state.startMove(c.now, moveToV2, 5, false)
	c.advance(moveToV2.FinishWithin / 2)
	listVersions(g, c.now, 18, 18)
	loads := map[string]int{}
	for i := range 4000 {
		u, ok := g.chooseUpstream(&call{deployment: "model", request: Request{ID: fmt.Sprint(i)}})
		require.True(t, ok)
		if u.Version == moveToV2.To && len(loads) < 2 {
			loads[u.ID]++
			g.state.router.Begin(u.ID)
		}
	}
	require.Len(t, loads, 2)
	most := 0
	for _, load := range loads {
		most = max(most, load)
	}
	require.Equal(t, 29, most, "nine tenths of the slots")
}

// The first share of a new version goes to so few upstreams that each has the load of
// one of the current version. Retries go to the current version.
func TestFirstShareUsesFewUpstreams(t *testing.T) {
	g, c := newGateway(t, nil)
	g.state.cfg.Moves = MoveLimits{ExposureShare: 0.1}
	listVersions(g, c.now, 18, 18)
	g.state.startMove(c.now, moveToV2, 5, false)
	newVersion, upstreams := pickMany(g, 4000)
	require.InDelta(t, 0.03*4000, newVersion, 60)
	require.Len(t, upstreams, 1)
	u, ok := g.chooseUpstream(&call{deployment: "model", sends: 1, request: Request{ID: "again"}})
	require.True(t, ok)
	require.Equal(t, "v1", u.Version)
	listVersions(g, c.now, 0, 18)
	_, ok = g.chooseUpstream(&call{deployment: "model", request: Request{ID: "only"}})
	require.True(t, ok, "there is no other version")
}

// statusStore holds one status row. It loses the response to the commit number loseAt,
// after applying it.
type statusStore struct {
	noStore
	row     provider.StoreRow
	loseAt  int
	commits int
}

func (s *statusStore) Read(context.Context, string) (provider.Page, error) {
	page := provider.Page{Version: s.row.Version}
	if s.row.Version > 0 {
		page.Rows = []provider.StoreRow{s.row}
	}
	return page, nil
}

func (s *statusStore) Commit(_ context.Context, change provider.Commit) (provider.CommitResult, error) {
	if change.Expect[0].Version != s.row.Version {
		return provider.CommitResult{Current: []provider.StoreRow{s.row}}, nil
	}
	s.commits++
	s.row = change.Put[0]
	s.row.Version = provider.Version(100 + s.commits)
	if s.loseAt--; s.loseAt == 0 {
		return provider.CommitResult{}, errNoStore
	}
	return provider.CommitResult{Applied: true, Version: s.row.Version}, nil
}

// plainDecoder decodes status rows whose value is only the state of a move.
type plainDecoder struct{ listDecoder }

func (plainDecoder) MoveStatus(key string, value []byte) (MoveStatus, bool, error) {
	return MoveStatus{Deployment: key, To: moveToV2.To, State: charter.State(value)}, true, nil
}

type statusEncoder struct{}

func (statusEncoder) MoveStatus(s MoveStatus) (provider.StoreRow, error) {
	return provider.StoreRow{Key: s.Deployment, Value: []byte(s.State)}, nil
}

// The move to a good version is reported as moving and then as done, once each,
// although the store loses a response. A leader that starts later reads that the move
// is done.
func TestMovesAreReportedOnce(t *testing.T) {
	g, c := newGateway(t, nil)
	makeLeader(g, c.now)
	store := &statusStore{loseAt: 2}
	g.cfg.Store, g.cfg.Decoder, g.cfg.Encoder = store, plainDecoder{}, statusEncoder{}
	g.state.cfg.Moves = MoveLimits{ExposureShare: 0.1, ExposureAllowance: 50}
	listVersions(g, c.now, 18, 18)
	g.state.startMove(c.now, moveToV2, 5, false)
	chatCall := &call{deployment: "model"}
	chatCall.route.Name = "chat"
	for range 150 {
		c.advance(100 * time.Millisecond)
		for range 5 {
			g.state.recordOutcome(chatCall, Upstream{Upstream: router.Upstream{Version: "v1"}}, false, 100*time.Millisecond)
			g.state.recordOutcome(chatCall, Upstream{Upstream: router.Upstream{Version: moveToV2.To}}, false, 100*time.Millisecond)
		}
		g.state.compareVersions()
		g.leader.moves.advance(context.Background())
	}
	require.Equal(t, mover.Done, g.state.moves["model"].state)
	require.Equal(t, "done", string(store.row.Value))
	require.Equal(t, 2, store.commits)
	newVersion, _ := pickMany(g, 50)
	require.Equal(t, 50, newVersion)

	later, _ := newGateway(t, nil)
	later.cfg.Store, later.cfg.Decoder = store, plainDecoder{}
	listVersions(later, c.now, 18, 18)
	later.state.startMove(c.now, moveToV2, 5, true)
	newVersion, _ = pickMany(later, 50)
	require.Zero(t, newVersion)
	later.leader.moves.readOldMoves(context.Background())
	require.Equal(t, mover.Done, later.state.moves["model"].state)
}

// A move was reported as done, so that the upstreams of the previous version stopped. An
// entry that had not received this rolled the move back: all entries then refused the
// only version left, and the store's status was changed after its end.
func TestMoveThatIsDoneIsNotRolledBack(t *testing.T) {
	g, c := newGateway(t, nil)
	makeLeader(g, c.now)
	store := &statusStore{}
	g.cfg.Store, g.cfg.Decoder, g.cfg.Encoder = store, plainDecoder{}, statusEncoder{}
	listVersions(g, c.now, 18, 18)
	g.state.startMove(c.now, moveToV2, 5, false)
	require.True(t, g.leader.moves.writeStatus(context.Background(), "model", mover.Done))
	listVersions(g, c.now, 0, 18)
	newVersion, _ := pickMany(g, 50)
	require.Equal(t, 50, newVersion)
	update := moveUpdate{To: moveToV2.To, FinishWithinMS: moveToV2.FinishWithin.Milliseconds(), Epoch: 5, State: mover.RolledBack, Reason: "failures"}
	g.state.mergeMoves(c.now, map[string]moveUpdate{"model": update})
	c.advance(100 * time.Millisecond)
	g.leader.moves.advance(context.Background())
	newVersion, _ = pickMany(g, 50)
	require.Equal(t, 50, newVersion, "there is no other version")
	require.Equal(t, "done", string(store.row.Value))
}

// A version that was rolled back got requests again with the next order, while its upstreams
// drained, and its failures counted as usual ones of the version that callers get.
func TestRolledBackVersionsStayWithdrawn(t *testing.T) {
	c := newCluster(t, 5)
	for _, g := range c.entries {
		listVersions(g, c.clock.now, 18, 18)
		g.state.upstreams["w"] = Upstream{Name: "w", Upstream: router.Upstream{ID: "w", Deployment: "model", Version: "v3", FailureDomain: "d0", Slots: 32}}
		g.state.updateRouter(c.clock.now)
	}
	c.rounds(6)
	for i, g := range c.entries {
		if i > 0 {
			g.state.startMove(c.clock.now, moveToV2, 77, false)
		}
	}
	c.entries[1].state.setMoveState(c.entries[1].state.moves["model"], mover.RolledBack, "bad")
	// The next order arrives before any other entry has heard of the end.
	moveToV3 := MoveOrder{Deployment: "model", To: "v3", FinishWithin: 15 * time.Second}
	for _, g := range c.entries {
		g.state.startMove(c.clock.now, moveToV3, 78, false)
	}
	c.rounds(2)
	chatCall := &call{deployment: "model"}
	chatCall.route.Name = "chat"
	for i, g := range c.entries {
		newVersion, _ := pickMany(g, 200)
		require.Zero(t, newVersion, "entry %d sends requests to a version that was rolled back", i)
		require.Equal(t, mover.Moving, g.state.moves["model"].state)
		g.state.recordOutcome(chatCall, Upstream{Upstream: router.Upstream{Version: "v2"}}, true, time.Second)
		require.Empty(t, g.state.ownOutcomes, "its failures count for the version that callers get")
	}
	started := c.entries[4].state
	started.moves, started.verdicts = map[string]*move{}, map[string]*mover.Verdicts{}
	c.rounds(2)
	newVersion, _ := pickMany(c.entries[4], 200)
	require.Zero(t, newVersion, "an entry that has started again")
	for _, g := range c.entries {
		g.state.startMove(c.clock.now, moveToV2, 79, false)
		require.Empty(t, g.state.withdrawnVersions("model"), "its order is judged anew")
	}
}

// Verdicts on versions that were not listed any more came back from entries that had not
// forgotten them yet, so that no entry ever forgot one.
func TestVerdictsOnOldVersionsAreForgotten(t *testing.T) {
	for _, entries := range []int{3, 81} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			c := newCluster(t, entries)
			for _, g := range c.entries {
				listVersions(g, c.clock.now, 18, 18)
				g.state.startMove(c.clock.now, moveToV2, 77, false)
				g.state.setMoveState(g.state.moves["model"], mover.RolledBack, "bad")
				g.state.startMove(c.clock.now, MoveOrder{Deployment: "model", To: "v3", FinishWithin: time.Hour}, 78, false)
			}
			c.rounds(6)
			for _, g := range c.entries {
				listVersions(g, c.clock.now, 18, 0)
			}
			for step := range 8 {
				c.clock.advance(mover.VerdictTTL / 2)
				for i, g := range c.entries {
					if (i+step)%2 == 0 {
						g.state.updateRouter(c.clock.now)
					}
				}
				c.rounds(3)
			}
			for i, g := range c.entries {
				require.NotContains(t, g.state.verdictsOn("model").Except(""), "v2", "entry %d", i)
			}
		})
	}
}
