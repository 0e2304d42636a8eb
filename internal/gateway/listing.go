package gateway

import (
	"time"

	"github.com/galenahitch/galenahitch/internal/provider"
)

const (
	// changeRetention is how long a relay tells of a change of the list of upstreams:
	// some messages may be lost. An entry that misses rows reads the list itself.
	changeRetention = 4 * gossipInterval
	// maxChunkBytes bounds the rows of one message, as large datagrams are more
	// likely to be lost, and mostChunks the messages of one round.
	maxChunkBytes = 1200
	maxChunks     = 24
	// slowUpstreamPollInterval is the time between two readings of the list of upstreams by
	// an entry that learns its changes from relays.
	slowUpstreamPollInterval = 15 * time.Second
)

// listChange is a change of the list of upstreams that matters to others.
type listChange struct {
	listRow
	recordedAt time.Time
}

// recordListChange keeps a change for the entries that do not read the list themselves.
func (b *state) recordListChange(now time.Time, row provider.StoreRow) {
	if b.listUpdatedAt.IsZero() || row.Version == 0 {
		return
	}
	b.lastChange++
	b.maxChangeVersion = max(b.maxChangeVersion, row.Version)
	for len(b.listChanges) > 0 && now.Sub(b.listChanges[0].recordedAt) > changeRetention {
		b.listChanges = b.listChanges[1:]
	}
	b.listChanges = append(b.listChanges, listChange{listRow: listRow{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted}, recordedAt: now})
}

// listMessages are the changes that a relay tells of now, in their order, cut to
// messages. The oldest are left out if there are too many.
func (b *state) listMessages(now time.Time) []peerMessage {
	first := len(b.listChanges)
	for first > 0 && now.Sub(b.listChanges[first-1].recordedAt) <= changeRetention {
		first--
	}
	var list []peerMessage
	number, size := b.lastChange-uint64(len(b.listChanges)-first), maxChunkBytes
	for _, c := range b.listChanges[first:] {
		if size += len(c.Key) + len(c.Value); size > maxChunkBytes {
			list = append(list, peerMessage{Kind: kindUpstreams})
			size = len(c.Key) + len(c.Value)
		}
		number++
		last := &list[len(list)-1]
		last.ListChanges, last.LastChange = append(last.ListChanges, c.listRow), number
	}
	return list[max(0, len(list)-maxChunks):]
}

// listSource is a relay that tells of changes of the list of upstreams.
type listSource struct {
	boot uint64
	// readAt is when it read the list, last the number of the last change that it
	// told.
	readAt     time.Time
	lastChange uint64
	// requiredVersion is the version of the store as of which this entry has to have read
	// the list itself, since it requiredVersion changes.
	requiredVersion uint64
}

// receiveList takes what a relay has read of the list of upstreams.
func (g *Gateway) receiveList(now time.Time, n peerMessage) {
	if n.Kind != kindOthers && n.Kind != kindUpstreams {
		return
	}
	b := g.state
	b.mu.Lock()
	t, known := b.listSources[n.ID]
	if !known {
		t = &listSource{}
		b.listSources[n.ID] = t
	}
	if t.boot != n.Boot {
		t.boot, t.lastChange, t.requiredVersion = n.Boot, n.LastChange, n.ListVersion
	}
	if n.LastChange > t.lastChange+uint64(len(n.ListChanges)) {
		t.requiredVersion = max(t.requiredVersion, n.ListVersion)
	}
	t.lastChange = max(t.lastChange, n.LastChange)
	if n.Kind == kindOthers {
		t.readAt = now.Add(-time.Duration(n.ListAgeMS) * time.Millisecond)
	}
	b.mu.Unlock()
	if len(n.ListChanges) == 0 {
		return
	}
	entries := make([]provider.StoreRow, 0, len(n.ListChanges))
	for _, row := range n.ListChanges {
		entries = append(entries, provider.StoreRow{
			Table: g.cfg.Tables.Upstreams, Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted,
		})
	}
	g.upstreamFollower.Update(now, entries)
}

// listPollTimeout is how long a reading of the list may wait for changes: a relay's
// members take a list for told only while the relay has read it lately.
func (g *Gateway) listPollTimeout() time.Duration {
	b := g.state
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.plan.IsRelay && len(b.plan.Members) > 0 {
		return g.cfg.MaxLeavingDelay / 4
	}
	return upstreamPollTimeout
}

// relaysSendList reports whether relays tell of changes of the list of upstreams in
// time, so that this entry need not read it often.
func (g *Gateway) relaysSendList(now time.Time) bool {
	b := g.state
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.plan.IsRelay {
		return false
	}
	version := g.upstreamFollower.Version()
	for _, t := range b.listSources {
		if now.Sub(t.readAt) < g.cfg.MaxLeavingDelay/2 && version > 0 && version >= t.requiredVersion {
			return true
		}
	}
	return false
}
