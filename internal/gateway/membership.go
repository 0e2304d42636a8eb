package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/internal/waiter"
	"github.com/galenahitch/galenahitch/pkg/accountant"
)

const (
	// memberRowInterval is how often an entry writes its row again, rosterPause how
	// often it reads the others', and rosterSilence how long the row of an entry
	// that nobody hears may stand unchanged.
	memberRowInterval  = 10 * time.Second
	memberPollInterval = 5 * time.Second
	memberRowTimeout   = 25 * time.Second
	// slowMemberPollInterval takes the place of rosterPause among many entries, most of
	// which need to know only their relays.
	slowMemberPollInterval = 20 * time.Second
	// memberRowRetryDelay is the wait after a row could not be written.
	memberRowRetryDelay = 500 * time.Millisecond
)

// memberRow is an entry's row in the table of entries.
type memberRow struct {
	Address string `json:"address"`
	Boot    uint64 `json:"boot"`
	Domain  string `json:"failure_domain"`
	// Capacity ranks entries as relays of news.
	Capacity float64 `json:"capacity,omitempty"`
	// Sequence makes each write a change.
	Sequence int `json:"sequence"`
	// Usage is for the entries that can't hear this one.
	Usage map[accountant.Window]accountant.Counts `json:"usage,omitempty"`
}

// fullRateMembers is the number of entries from which on each writes its row less
// often, so that all of them together write and read no more.
const fullRateMembers = 16

// memberIntervalFactor is how many times rarer rows are written than among few entries.
// The lock must be held.
func (b *state) memberIntervalFactor() time.Duration {
	return time.Duration(max(1, b.memberCount()/fullRateMembers))
}

// slowMemberPolls reports whether the rows of entries are read less often.
func (g *Gateway) slowMemberPolls(time.Time) bool {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	return g.state.memberIntervalFactor() > 1
}

// applyMemberRows takes rows of the table of entries.
func (g *Gateway) applyMemberRows(now time.Time, changed []provider.StoreRow) {
	b := g.state
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, row := range changed {
		if row.Key == g.cfg.ID {
			continue
		}
		p, known := b.peers[row.Key]
		if row.Deleted {
			if known {
				g.removePeer(now, row.Key, "its row is gone")
			}
			continue
		}
		var at memberRow
		if err := json.Unmarshal(row.Value, &at); err != nil || at.Address == "" {
			g.cfg.Log.Warn().Str("event", "entry_row_invalid").Str("row", row.Key).Err(err).Send()
			continue
		}
		if !known {
			p = &peer{boot: at.Boot, address: at.Address}
			b.peers[row.Key] = p
			g.cfg.Log.Info().Str("event", "peer_found").Str("peer", row.Key).Str("address", at.Address).Int("members", b.memberCount()).Send()
		}
		p.rowReadAt = now
		b.accountant.Merge(processName(row.Key, at.Boot), at.Usage)
		if at.Boot >= p.boot {
			p.boot, p.address, p.domain, p.capacity = at.Boot, at.Address, at.Domain, at.Capacity
		}
	}
	b.applyMemberCount(now)
}

// removePeer drops an entry that is gone. The lock must be held.
func (g *Gateway) removePeer(now time.Time, id, why string) {
	b := g.state
	if p, ok := b.peers[id]; ok && now.Sub(p.detector.LastReceived()) > peerTimeout {
		// One that is still heard ends what it has accepted.
		for _, group := range []string{entryGroup(id), relayGroup(id), othersGroup} {
			b.dropSource(now, group, id)
		}
	}
	delete(b.peers, id)
	b.applyMemberCount(now)
	g.cfg.Log.Info().Str("event", "peer_forgotten").Str("peer", id).Str("reason", why).Int("members", b.memberCount()).Send()
}

// sweepPeers drops what silent entries told of their load, and entries whose
// rows nobody writes any more.
func (g *Gateway) sweepPeers(now time.Time) {
	b := g.state
	b.mu.Lock()
	defer b.mu.Unlock()
	for group, h := range b.received {
		if silent := now.Sub(h.at); silent > peerTimeout {
			b.replaceReceived(now, group, nil)
			if _, member := b.peers[h.message.ID]; !member {
				b.dropSource(now, group, h.message.ID)
			}
			g.cfg.Log.Warn().Str("event", "peer_silent").Str("peer", h.message.ID).Str("group", group).
				Int("entries", max(1, h.message.Entries)).Dur("silent", silent).Send()
		}
	}
	patience := memberRowTimeout * b.memberIntervalFactor()
	for id, p := range b.peers {
		silent := now.Sub(p.detector.LastReceived())
		if p.detector.LastReceived().IsZero() {
			silent = now.Sub(p.rowReadAt)
		}
		age, ever := g.entryFollower.Age(now)
		if silent > patience && ever && age < patience/2 && now.Sub(p.rowReadAt) > patience {
			g.removePeer(now, id, "nobody hears it and it does not write its row")
		}
	}
}

// maintainMemberRow writes this entry's row until ctx ends or the process stops.
func (g *Gateway) maintainMemberRow(ctx context.Context) error {
	for sequence := 1; ctx.Err() == nil && !g.stopping.Load(); sequence++ {
		g.state.mu.Lock()
		wait := memberRowInterval * g.state.memberIntervalFactor()
		g.state.mu.Unlock()
		if err := g.writeMemberRow(ctx, sequence); err != nil {
			g.cfg.Log.Warn().Str("event", "entry_row_not_written").Err(err).Send()
			wait = memberRowRetryDelay
		}
		if !waiter.Pause(ctx, g.state.jitter(wait)) {
			break
		}
	}
	return nil
}

func (g *Gateway) writeMemberRow(ctx context.Context, sequence int) error {
	own := memberRow{Address: g.cfg.PeerListen, Boot: g.boot, Domain: g.cfg.FailureDomain, Capacity: g.cfg.Capacity, Sequence: sequence}
	b := g.state
	b.mu.Lock()
	if g.cfg.UsageWindow > 0 && b.memberIntervalFactor() == 1 {
		own.Usage = b.accountant.LocalCounts(b.accountant.WindowAt(b.agreedTime(g.cfg.Now())) - maxOpenUsageWindows)
	}
	b.mu.Unlock()
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	_, err = g.cfg.Store.Commit(ctx, provider.Commit{Put: []provider.StoreRow{{Table: g.cfg.Tables.Entries, Key: g.cfg.ID, Value: value}}})
	return err
}

func (g *Gateway) deleteMemberRow(ctx context.Context) {
	change := provider.Commit{Delete: []provider.StoreRow{{Table: g.cfg.Tables.Entries, Key: g.cfg.ID}}}
	if _, err := g.cfg.Store.Commit(ctx, change); err != nil {
		g.cfg.Log.Warn().Str("event", "entry_row_not_deleted").Err(err).Send()
	}
}
