package server

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/emulator"
	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/leaser"
	"github.com/galenahitch/galenahitch/pkg/mover"
)

// interferingTable is a table in which another entry writes a move's row just
// before this entry does, once for each function in before.
type interferingTable struct {
	provider.Table
	before []func()
}

func (m *interferingTable) Put(ctx context.Context, put provider.Put) (provider.PutResult, error) {
	if put.Key == movePrefix+"s" && len(m.before) > 0 {
		write := m.before[0]
		m.before = m.before[1:]
		write()
	}
	return m.Table.Put(ctx, put)
}

func writeMoveRow(t *testing.T, table provider.Table, m mover.Move) {
	row, err := table.Get(context.Background(), movePrefix+m.Deployment)
	require.NoError(t, err)
	value, err := json.Marshal(m)
	require.NoError(t, err)
	_, err = table.Put(context.Background(), provider.Put{Key: row.Key, Value: value, Expect: row.Version})
	require.NoError(t, err)
}

// A move can start although another entry writes the end of the last move at the
// same time. A move that another operator starts at the same time is a conflict.
func TestStartMoveOverChangingRow(t *testing.T) {
	platform := emulator.NewPlatform(time.Now)
	open := mover.Start(time.Now(), mover.Move{ID: "m1", Epoch: 1, Deployment: "s", From: "v1", To: "v2"}, "ana", time.Minute)
	ended := mover.RollBack(time.Now(), open, "system", "failures")
	writeMoveRow(t, platform, open)
	table := &interferingTable{Table: platform, before: []func(){func() { writeMoveRow(t, platform, ended) }}}
	s := testServer(t, "e1", table, nil)
	s.state.mergeMove(ended)
	m, err := s.startMove(context.Background(), "ana", "s", "v3", 0)
	require.NoError(t, err)
	require.EqualValues(t, 2, m.Epoch)
	require.Equal(t, "v1", m.From)

	rolledBack := mover.RollBack(time.Now(), m, "ana", "enough")
	writeMoveRow(t, platform, rolledBack)
	s.state.mergeMove(rolledBack)
	other := mover.Start(time.Now(), mover.Move{ID: "m3", Epoch: 3, Deployment: "s", From: "v1", To: "v4"}, "bea", time.Minute)
	table.before = []func(){func() { writeMoveRow(t, platform, other) }}
	_, err = s.startMove(context.Background(), "ana", "s", "v5", 0)
	require.ErrorContains(t, err, "a move to v4 goes on")
}

// The leader's write of a move's end took effect just before a roll-back, and stayed in
// the row: entries that started later served the version that was rolled back.
func TestLateEndDoesNotUndoARollBack(t *testing.T) {
	open := mover.Start(time.Now(), mover.Move{ID: "m1", Epoch: 1, Deployment: "s", From: "v1", To: "v2"}, "ana", time.Minute)
	done := open
	done.State = mover.Done
	done.Revision++
	value, err := json.Marshal(done)
	require.NoError(t, err)
	for _, endFirst := range []bool{true, false} {
		platform := emulator.NewPlatform(time.Now)
		writeMoveRow(t, platform, open)
		late := provider.Put{Key: movePrefix + "s", Value: value, Expect: 1}
		s := testServer(t, "e1", platform, nil)
		s.state.mergeMove(mover.RollBack(time.Now(), open, "system", "failures"))
		if endFirst {
			_, err = platform.Put(context.Background(), late)
			require.NoError(t, err)
		}
		s.syncMoves(context.Background())
		if !endFirst {
			_, err = platform.Put(context.Background(), late)
			require.NoError(t, err)
		}
		s.syncMoves(context.Background())
		restarted := testServer(t, "e2", platform, nil)
		restarted.syncMoves(context.Background())
		require.Equal(t, mover.RolledBack, restarted.move("s").State, "the end first: %t", endFirst)
	}
}

// Neither the end of a term nor a failed call to the table left a line, so the log did not
// tell why a leader had stopped.
func TestTermsAndFailuresAreLogged(t *testing.T) {
	clock := newTestClock()
	platform := emulator.NewPlatform(clock.Now)
	fault := 5
	table := &lossyTable{Table: platform, nextFault: func() int { return fault }}
	s := newFleetLeader(t, clock, platform)
	var log bytes.Buffer
	s.cfg.Table, s.cfg.Log = table, zerolog.New(&log)
	lead := newLeader(s.cfg, fleetLeadership)
	require.True(t, s.acquireOrRenew(context.Background(), lead))
	fault = 0
	for range 20 {
		clock.advance(s.cfg.LeaseLifetime / 4)
		s.observeTerm(lead)
		s.acquireOrRenew(context.Background(), lead)
	}
	fault = 5
	clock.advance(s.cfg.LeaseLifetime)
	require.True(t, s.acquireOrRenew(context.Background(), lead))
	for event, lines := range map[string]int{
		`"event":"lease_taken","duty":"fleet","fence":1,"reason":"unused"`:                  1,
		`"event":"lease_taken","duty":"fleet","fence":2,"reason":"expired","previous":"e1"`: 1,
		`"event":"lease_lost","duty":"fleet","fence":1,"holder":"e1"`:                       1,
		`"event":"platform_unreachable"`:                                                    2,
		`"event":"platform_reachable"`:                                                      2,
	} {
		require.Equal(t, lines, strings.Count(log.String(), event), "%s in\n%s", event, log.String())
	}
}

// deadlineTable is a table that records the time left to each write.
type deadlineTable struct {
	provider.Table
	left []time.Duration
}

func (d *deadlineTable) Put(ctx context.Context, put provider.Put) (provider.PutResult, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Hour)
	}
	d.left = append(d.left, time.Until(deadline))
	return d.Table.Put(ctx, put)
}

// A leader's write of a move's next step could be sent as its term ended and take effect
// when the next leader had other evidence.
func TestMovesAreAdvancedWithinTheTerm(t *testing.T) {
	clock := newTestClock()
	platform := emulator.NewPlatform(clock.Now)
	s := newFleetLeader(t, clock, platform)
	table := &deadlineTable{Table: platform}
	s.cfg.Table = table
	baking := mover.Start(clock.Now(), mover.Move{ID: "m1", Epoch: 1, Deployment: "s", From: "v1", To: "v2"}, "ana", time.Minute)
	baking.State, baking.FullMS = mover.Baking, clock.Now().Add(-time.Hour).UnixMilli()
	writeMoveRow(t, platform, baking)
	s.moveLeader.leaser.RecordWrite(clock.Now(), 1, leaser.Lease{Holder: "e1", Fence: 1})
	clock.advance(s.cfg.LeaseLifetime / 3)
	s.advanceMoves(context.Background())
	require.Equal(t, mover.Done, s.move("s").State)
	require.Len(t, table.left, 1)
	require.LessOrEqual(t, table.left[0], s.cfg.LeaseLifetime/3, "the time that is left of the term")
}
