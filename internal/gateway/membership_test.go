package gateway

import (
	"context"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/provider"
)

// The store did a write of an entry's row after the row had been deleted: an entry that had
// left was counted for memberRowTimeout.
func TestDelayedRowOfAnEntryThatHasLeft(t *testing.T) {
	g, _ := newGateway(t, nil)
	store := &eraStore{rows: map[string]provider.StoreRow{}}
	client := &eraClient{store: store}
	g.cfg.Store, g.cfg.Tables.Entries = client, "entries"
	require.NoError(t, g.writeMemberRow(context.Background(), 1))
	client.delays = true
	require.Error(t, g.writeMemberRow(context.Background(), 2))
	g.deleteMemberRow(context.Background())
	client.doDelayed()
	require.Empty(t, store.rows)
}

// An entry that starts again, or that meets the store after it returned from an older
// copy, does not know the version of its row.
func TestRowOfAnotherVersionIsReplaced(t *testing.T) {
	g, _ := newGateway(t, nil)
	store := &eraStore{rows: map[string]provider.StoreRow{}, era: 1}
	client := &eraClient{store: store}
	g.cfg.Store, g.cfg.Tables.Entries = client, "entries"
	_, err := client.Read(context.Background(), "entries")
	require.NoError(t, err)
	require.NoError(t, g.writeMemberRow(context.Background(), 1))
	g.memberRowVersion = 0
	require.NoError(t, g.writeMemberRow(context.Background(), 2))
	store.takeCopy()
	require.NoError(t, g.writeMemberRow(context.Background(), 3))
	store.returnTo(0)
	_, err = client.Read(context.Background(), "entries")
	require.NoError(t, err)
	require.NoError(t, g.writeMemberRow(context.Background(), 4))
	require.Contains(t, string(store.rows["entries/e1"].Value), `"sequence":4`)
}

// A message that an entry had sent before it began to stop arrived late: the entry was a relay
// again, or counted as a member after its row was deleted.
func TestLateMessagesOfAnEntryThatStops(t *testing.T) {
	g, clock := newGateway(t, nil)
	before := peerMessage{ID: "e2", Boot: 7, Address: "10.0.0.2:7600", Kind: kindMember, Group: "a"}
	stops, next := before, before
	stops.Stopping, next.Boot = true, 8
	g.receive(clock.now, netip.AddrPort{}, before)
	g.receive(clock.now, netip.AddrPort{}, stops)
	g.receive(clock.now, netip.AddrPort{}, before)
	require.True(t, g.state.peers["e2"].stopping)
	g.applyMemberRows(clock.now, []provider.StoreRow{{Key: "e2", Deleted: true}})
	g.receive(clock.now, netip.AddrPort{}, before)
	require.NotContains(t, g.state.peers, "e2")
	g.receive(clock.now, netip.AddrPort{}, next)
	require.Contains(t, g.state.peers, "e2", "its next process")
	require.False(t, g.state.peers["e2"].stopping)
}
