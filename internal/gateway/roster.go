package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/galenahitch/galenahitch/internal/keeper"
	"github.com/galenahitch/galenahitch/internal/waiter"
	"github.com/galenahitch/galenahitch/pkg/accountant"
)

const (
	// rosterRefresh is how often an entry writes its row again, rosterPause how
	// often it reads the others', and rosterSilence how long the row of an entry
	// that nobody hears may stand unchanged.
	rosterRefresh = 10 * time.Second
	rosterPause   = 5 * time.Second
	rosterSilence = 25 * time.Second
	// rosterRetry is the wait after a row could not be written.
	rosterRetry = 500 * time.Millisecond
)

// place is an entry's row in the table of entries.
type place struct {
	Address string `json:"address"`
	Boot    uint64 `json:"boot"`
	// Sequence makes each write a change.
	Sequence int `json:"sequence"`
	// Usage is for the entries that can't hear this one.
	Usage map[accountant.Window]accountant.Counts `json:"usage,omitempty"`
}

// seat takes rows of the table of entries.
func (g *Gateway) seat(now time.Time, changed []keeper.Entry) {
	b := g.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, row := range changed {
		if row.Key == g.cfg.ID {
			continue
		}
		p, known := b.peers[row.Key]
		if row.Deleted {
			if known {
				g.forget(now, row.Key, "its row is gone")
			}
			continue
		}
		var at place
		if err := json.Unmarshal(row.Value, &at); err != nil || at.Address == "" {
			g.cfg.Log.Warn().Str("event", "entry_row_invalid").Str("row", row.Key).Err(err).Send()
			continue
		}
		if !known {
			p = &peer{boot: at.Boot, address: at.Address}
			b.peers[row.Key] = p
			g.cfg.Log.Info().Str("event", "peer_found").Str("peer", row.Key).Str("address", at.Address).Int("members", b.members()).Send()
		}
		p.rowAt = now
		b.accountant.Merge(processName(row.Key, at.Boot), at.Usage)
		if at.Boot >= p.boot {
			p.boot, p.address = at.Boot, at.Address
		}
	}
	b.resize()
	g.gossip.Peers(b.peerAddresses())
}

// forget drops an entry that is gone. The lock must be held.
func (g *Gateway) forget(now time.Time, id, why string) {
	b := g.beliefs
	p := b.peers[id]
	b.replaceLoad(now, p, nil)
	delete(b.peers, id)
	b.quoter.Forget(id)
	b.resize()
	g.cfg.Log.Info().Str("event", "peer_forgotten").Str("peer", id).Str("reason", why).Int("members", b.members()).Send()
}

// sweepPeers drops what silent entries told of their load, and entries whose
// rows nobody writes any more.
func (g *Gateway) sweepPeers(now time.Time) {
	b := g.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, p := range b.peers {
		silent := now.Sub(p.heardAt)
		if p.heardAt.IsZero() {
			silent = now.Sub(p.rowAt)
		}
		if silent > peerReach && len(p.load) > 0 {
			b.replaceLoad(now, p, nil)
			g.cfg.Log.Warn().Str("event", "peer_silent").Str("peer", id).Dur("silent", silent).Send()
		}
		age, ever := g.entries.Age(now)
		if silent > rosterSilence && ever && age < rosterSilence/2 && now.Sub(p.rowAt) > rosterSilence {
			g.forget(now, id, "nobody hears it and it does not write its row")
		}
	}
}

// keepSeat writes this entry's row until ctx ends or the process stops.
func (g *Gateway) keepSeat(ctx context.Context) error {
	for sequence := 1; ctx.Err() == nil && !g.stopping.Load(); sequence++ {
		wait := rosterRefresh
		if err := g.writeSeat(ctx, sequence); err != nil {
			g.cfg.Log.Warn().Str("event", "entry_row_not_written").Err(err).Send()
			wait = rosterRetry
		}
		if !waiter.Pause(ctx, g.beliefs.jitter(wait)) {
			break
		}
	}
	return nil
}

func (g *Gateway) writeSeat(ctx context.Context, sequence int) error {
	own := place{Address: g.cfg.PeerListen, Boot: g.boot, Sequence: sequence}
	if g.cfg.UsageWindow > 0 {
		g.beliefs.mu.Lock()
		own.Usage = g.beliefs.accountant.Own(g.beliefs.accountant.At(g.beliefs.trueTime(g.cfg.Now())) - usageBack)
		g.beliefs.mu.Unlock()
	}
	value, err := json.Marshal(own)
	if err != nil {
		return err
	}
	_, err = g.cfg.Store.Commit(ctx, keeper.Commit{Put: []keeper.Entry{{Table: g.cfg.Tables.Entries, Key: g.cfg.ID, Value: value}}})
	return err
}

func (g *Gateway) deleteSeat(ctx context.Context) {
	change := keeper.Commit{Delete: []keeper.Entry{{Table: g.cfg.Tables.Entries, Key: g.cfg.ID}}}
	if _, err := g.cfg.Store.Commit(ctx, change); err != nil {
		g.cfg.Log.Warn().Str("event", "entry_row_not_deleted").Err(err).Send()
	}
}
