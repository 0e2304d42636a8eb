package gateway

import (
	"time"

	"github.com/galenahitch/galenahitch/internal/keeper"
)

const (
	// rowMemory is how long a relay tells of a change of the list of upstreams:
	// several messages may be lost.
	rowMemory = 2 * time.Second
	// mostRows bounds the rows in one message.
	mostRows = 64
	// upstreamPause is the time between two readings of the list of upstreams by
	// an entry that learns its changes from relays.
	upstreamPause = 6 * time.Second
)

// changedRow is a change of the list of upstreams that matters to others.
type changedRow struct {
	listRow
	at time.Time
}

// remember keeps a change for the entries that do not read the list themselves.
func (b *beliefs) remember(now time.Time, row keeper.Entry) {
	if b.listedAt.IsZero() || row.Version == 0 {
		return
	}
	kept := b.changes[:0]
	for _, c := range b.changes {
		if now.Sub(c.at) <= rowMemory && c.Key != row.Key {
			kept = append(kept, c)
		}
	}
	b.changes = append(kept, changedRow{listRow: listRow{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted}, at: now})
}

// rows are the changes that a relay tells of now, the newest if there are many.
func (b *beliefs) rows(now time.Time) []listRow {
	var list []listRow
	for _, c := range b.changes[max(0, len(b.changes)-mostRows):] {
		if now.Sub(c.at) <= rowMemory {
			list = append(list, c.listRow)
		}
	}
	return list
}

// learnList takes what a relay has read of the list of upstreams.
func (g *Gateway) learnList(now time.Time, n news) {
	if n.Voice != forOthers {
		return
	}
	b := g.beliefs
	b.mu.Lock()
	if at := now.Add(-time.Duration(n.ListAgeMS) * time.Millisecond); at.After(b.listToldAt) {
		b.listToldAt = at
	}
	b.mu.Unlock()
	if len(n.Rows) == 0 {
		return
	}
	entries := make([]keeper.Entry, 0, len(n.Rows))
	for _, row := range n.Rows {
		entries = append(entries, keeper.Entry{
			Table: g.cfg.Tables.Upstreams, Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted,
		})
	}
	g.servers.Learn(now, entries)
}

// listIsTold reports whether relays tell of changes of the list of upstreams in
// time, so that this entry need not read it often.
func (g *Gateway) listIsTold(now time.Time) bool {
	b := g.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.plan.Relay && now.Sub(b.listToldAt) < g.cfg.LeaveWithin/2
}
