package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/waiter"
	"github.com/galenahitch/galenahitch/pkg/accountant"
)

const (
	// memberRowInterval is the time between two writes of an entry's own row,
	// memberPollInterval the time between two reads of the table, and
	// memberRowTimeout the time after which an entry without messages and row writes
	// is removed.
	memberRowInterval  = 10 * time.Second
	memberPollInterval = 5 * time.Second
	memberRowTimeout   = 25 * time.Second
	// maxMemberPollInterval bounds the time between two reads among many entries, most of
	// which need only the rows of their relays.
	maxMemberPollInterval = time.Minute
	// memberRowGrace is how long entries without a row are kept after the store was
	// away, and eraWriteDelay the mean time after which entries write their rows again
	// if it has returned from an older copy.
	memberRowGrace = 10 * time.Second
	eraWriteDelay  = time.Second
	// memberRowTries is the number of tries of a write whose condition fails: a version of
	// an earlier era is forgotten in the first, and that of the copy's row read in the
	// second.
	memberRowTries = 3
	// memberRowRetryDelay is the delay after a failed write of the row.
	memberRowRetryDelay = 500 * time.Millisecond
)

// memberRow is an entry's row in the table of entries.
type memberRow struct {
	Address string `json:"address"`
	Boot    uint64 `json:"boot"`
	Domain  string `json:"failure_domain"`
	// Capacity ranks the entries of a group as relays, largest first.
	Capacity float64 `json:"capacity,omitempty"`
	// Sequence makes each write change the row.
	Sequence int `json:"sequence"`
	// Usage is for the entries that receive no messages from this one.
	Usage map[accountant.Window]accountant.Counts `json:"usage,omitempty"`
}

// fullRateMembers is the number of entries up to which each writes its row every
// memberRowInterval. Beyond it each writes less often in proportion, at most half as often
// at first, so that the rate of writes and reads of all entries together does not grow.
const fullRateMembers = 16

// memberIntervalFactor returns the factor by which the interval between writes of rows
// grows with the number of entries. The lock must be held.
func (st *state) memberIntervalFactor() time.Duration {
	if st.memberCount() <= fullRateMembers {
		return 1
	}
	return time.Duration(max(2, st.memberCount()/fullRateMembers))
}

// postponeMemberPoll reports whether the next read of the rows of entries can wait. They
// must be read more than twice in the time after which a silent entry is removed, and a
// second time soon after the start, as many entries may have started together.
func (g *Gateway) postponeMemberPoll(now time.Time) bool {
	g.state.mu.Lock()
	factor := g.state.memberIntervalFactor()
	g.state.mu.Unlock()
	age, _ := g.entryFollower.Age(g.cfg.LeaseNow())
	return factor > 1 && age < memberRowInterval*factor && now.Sub(g.startedAt) > memberPollInterval+time.Second
}

// applyMemberRows applies changed rows of the table of entries to the peers.
func (g *Gateway) applyMemberRows(now time.Time, changed []provider.StoreRow) {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, row := range changed {
		if row.Key == g.cfg.ID {
			continue
		}
		p, known := st.peers[row.Key]
		if row.Deleted {
			if known {
				g.removePeer(now, row.Key, "its row was deleted")
			}
			continue
		}
		var member memberRow
		if err := json.Unmarshal(row.Value, &member); err != nil || member.Address == "" {
			g.cfg.Log.Warn().Str("event", "entry_row_invalid").Str("row", row.Key).Err(err).Send()
			continue
		}
		if !known {
			p = &peer{boot: member.Boot, address: member.Address}
			st.peers[row.Key] = p
			g.cfg.Log.Info().Str("event", "peer_found").Str("peer", row.Key).Str("address", member.Address).Int("members", st.memberCount()).Send()
		}
		p.rowReadAt = now
		st.accountant.Merge(processName(row.Key, member.Boot), member.Usage)
		if member.Boot >= p.boot {
			p.boot, p.address, p.domain, p.capacity = member.Boot, member.Address, member.Domain, member.Capacity
		}
	}
	st.applyMemberCount(now)
	st.router.SetEntries(now, slices.Collect(maps.Keys(st.peers)))
}

// removePeer removes an entry. The lock must be held.
func (g *Gateway) removePeer(now time.Time, id, reason string) {
	st := g.state
	// The messages of an entry that still sends some are kept: it is finishing its
	// accepted requests.
	if p, ok := st.peers[id]; ok && now.Sub(p.detector.LastReceived()) > peerTimeout {
		for _, group := range []string{entryGroup(id), relayGroup(id), othersGroup} {
			st.dropSource(now, group, id)
		}
	}
	delete(st.peers, id)
	st.applyMemberCount(now)
	g.cfg.Log.Info().Str("event", "peer_forgotten").Str("peer", id).Str("reason", reason).Int("members", st.memberCount()).Send()
}

// sweepPeers removes the last messages of silent sources, and silent entries whose
// rows are no longer written.
func (g *Gateway) sweepPeers(now time.Time) {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	st.crashes.sweep(now)
	for group, last := range st.received {
		if silent := now.Sub(last.at); silent > peerTimeout {
			st.replaceReceived(now, group, nil)
			if _, isMember := st.peers[last.message.ID]; !isMember {
				st.dropSource(now, group, last.message.ID)
			}
			g.cfg.Log.Warn().Str("event", "peer_silent").Str("peer", last.message.ID).Str("group", group).
				Int("entries", max(1, last.message.Entries)).Dur("silent", silent).Send()
		}
	}
	rowTimeout := memberRowTimeout * st.memberIntervalFactor()
	for id, p := range st.peers {
		silent := now.Sub(p.detector.LastReceived())
		if p.detector.LastReceived().IsZero() {
			silent = now.Sub(p.rowReadAt)
		}
		age, everRead := g.entryFollower.Age(g.cfg.LeaseNow())
		if silent > rowTimeout && everRead && age < rowTimeout/2 && now.Sub(p.rowReadAt) > rowTimeout {
			g.removePeer(now, id, "no messages received and its row is no longer written")
		}
	}
}

// followEntries follows the table of entries until ctx ends. It begins after this entry has
// written its own row: of two entries that start together the one that reads later then
// finds the other one and sends it messages.
func (g *Gateway) followEntries(ctx context.Context) error {
	select {
	case <-g.memberRowTried:
	case <-ctx.Done():
		return nil
	}
	return g.entryFollower.Run(ctx)
}

// maintainMemberRow writes this entry's row until ctx ends or the process stops.
func (g *Gateway) maintainMemberRow(ctx context.Context) error {
	for sequence := 1; ctx.Err() == nil && !g.stopping.Load(); sequence++ {
		g.state.mu.Lock()
		delay := memberRowInterval * g.state.memberIntervalFactor()
		g.state.mu.Unlock()
		err := g.writeMemberRow(ctx, sequence)
		if sequence == 1 {
			close(g.memberRowTried)
		}
		if err != nil {
			g.cfg.Log.Warn().Str("event", "entry_row_not_written").Err(err).Send()
			delay = memberRowRetryDelay
		}
		g.pauseMemberWrites(ctx, g.state.jitter(delay))
	}
	return nil
}

// pauseMemberWrites waits for the next write of the entry's row, which is soon if the
// store begins a new era.
func (g *Gateway) pauseMemberWrites(ctx context.Context, delay time.Duration) {
	era, start := g.cfg.Store.Era(), g.cfg.Now()
	for g.cfg.Now().Sub(start) < delay && waiter.Pause(ctx, min(delay, memberRowRetryDelay)) {
		if g.cfg.Store.Era() != era {
			waiter.Pause(ctx, g.state.jitter(eraWriteDelay))
			return
		}
	}
}

func (g *Gateway) writeMemberRow(ctx context.Context, sequence int) error {
	own := memberRow{Address: g.cfg.PeerListen, Boot: g.boot, Domain: g.cfg.FailureDomain, Capacity: g.cfg.Capacity, Sequence: sequence}
	st := g.state
	st.mu.Lock()
	if g.cfg.UsageWindow > 0 && st.memberIntervalFactor() == 1 {
		own.Usage = st.accountant.LocalCounts(st.accountant.WindowAt(st.agreedTime(g.cfg.Now())) - maxOpenUsageWindows)
	}
	st.mu.Unlock()
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	return g.putMemberRow(ctx, provider.StoreRow{Table: g.cfg.Tables.Entries, Key: g.cfg.ID, Value: value})
}

// putMemberRow replaces this entry's row. The write is conditional on the row's version,
// so that it has no effect if the store does it after the row was deleted.
func (g *Gateway) putMemberRow(ctx context.Context, row provider.StoreRow) error {
	for range memberRowTries {
		expect := provider.StoreRow{Table: row.Table, Key: row.Key, Version: g.memberRowVersion}
		result, err := g.cfg.Store.Commit(ctx, provider.Commit{Expect: []provider.StoreRow{expect}, Put: []provider.StoreRow{row}})
		switch {
		case err == nil && result.Applied:
			g.memberRowVersion = result.Version
			return nil
		case err != nil && (g.memberRowVersion == 0 || !errorx.IsOfType(err, provider.Refused)):
			return err
		}
		g.memberRowVersion = 0
		for _, current := range result.Current {
			if current.Table == row.Table && current.Key == row.Key {
				g.memberRowVersion = current.Version
			}
		}
	}
	return provider.Refused.New("the row changes")
}

func (g *Gateway) deleteMemberRow(ctx context.Context) {
	change := provider.Commit{Delete: []provider.StoreRow{{Table: g.cfg.Tables.Entries, Key: g.cfg.ID}}}
	if _, err := g.cfg.Store.Commit(ctx, change); err != nil {
		g.cfg.Log.Warn().Str("event", "entry_row_not_deleted").Err(err).Send()
	}
}
