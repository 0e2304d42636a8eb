package gateway

import (
	"slices"
	"time"

	"github.com/galenahitch/galenahitch/internal/provider"
)

const (
	// changeRetention is how long a relay repeats a change of the list of upstreams,
	// since messages may be lost. An entry that misses a change reads the list itself.
	changeRetention = 4 * gossipInterval
	// maxChunkBytes bounds the rows of one message, as large datagrams are more
	// likely to be lost. maxChunks bounds the messages of one round.
	maxChunkBytes = 1200
	maxChunks     = 24
	// slowUpstreamPollInterval is the time between two reads of the list of upstreams
	// by an entry that receives its changes from relays.
	slowUpstreamPollInterval = time.Minute
	// An entry reads the list itself when the relay that sends it has not read it for
	// these shares of Config.MaxLeavingDelay: the other relay of the group before the
	// members, so that it goes on sending the changes.
	relayListShare  = 0.45
	memberListShare = 0.5
	// listPollShare is the share for which a relay's poll waits for changes. With the
	// pause between polls it is below relayListShare.
	listPollShare  = 0.125
	listPauseShare = 0.25
)

// listChange is a change of the list of upstreams that relays send.
type listChange struct {
	listRow
	recordedAt time.Time
}

// recordListChange records a change of the list for the messages to entries that
// receive the list from relays.
func (st *state) recordListChange(now time.Time, row provider.StoreRow) {
	if st.listUpdatedAt.IsZero() || row.Version == 0 {
		return
	}
	st.lastChange++
	st.maxChangeVersion = max(st.maxChangeVersion, row.Version)
	for len(st.listChanges) > 0 && now.Sub(st.listChanges[0].recordedAt) > changeRetention {
		st.listChanges = st.listChanges[1:]
	}
	st.listChanges = append(st.listChanges, listChange{listRow: listRow{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted}, recordedAt: now})
}

// listMessages returns the messages with the recent changes of the list, in their
// order. If there are more than maxChunks, the oldest messages are left out.
func (st *state) listMessages(now time.Time) []peerMessage {
	first := len(st.listChanges)
	for first > 0 && now.Sub(st.listChanges[first-1].recordedAt) <= changeRetention {
		first--
	}
	var messages []peerMessage
	number, size := st.lastChange-uint64(len(st.listChanges)-first), maxChunkBytes
	for _, change := range st.listChanges[first:] {
		if size += len(change.Key) + len(change.Value); size > maxChunkBytes {
			messages = append(messages, peerMessage{Kind: kindUpstreams})
			size = len(change.Key) + len(change.Value)
		}
		number++
		last := &messages[len(messages)-1]
		last.ListChanges, last.LastChange = append(last.ListChanges, change.listRow), number
	}
	return messages[max(0, len(messages)-maxChunks):]
}

// listSource is a relay that sends changes of the list of upstreams.
type listSource struct {
	boot uint64
	// readAt is when it last read the list, lastChange the number of its last change
	// that was received.
	readAt     time.Time
	lastChange uint64
	// requiredVersion is the store version that this entry's own list must have
	// reached, because this entry missed changes from the relay.
	requiredVersion provider.Version
}

// receiveList applies the changes of the list of upstreams in a relay's message and
// detects missed ones.
func (g *Gateway) receiveList(now time.Time, message peerMessage) {
	if message.Kind != kindOthers && message.Kind != kindUpstreams {
		return
	}
	st := g.state
	st.mu.Lock()
	source, known := st.listSources[message.ID]
	if !known {
		source = &listSource{}
		st.listSources[message.ID] = source
	}
	if source.boot != message.Boot {
		source.boot, source.lastChange, source.requiredVersion = message.Boot, message.LastChange, message.ListVersion
	}
	if message.LastChange > source.lastChange+uint64(len(message.ListChanges)) {
		source.requiredVersion = max(source.requiredVersion, message.ListVersion)
	}
	source.lastChange = max(source.lastChange, message.LastChange)
	if message.Kind == kindOthers {
		source.readAt = now.Add(-time.Duration(message.ListAgeMS) * time.Millisecond)
	}
	st.mu.Unlock()
	if len(message.ListChanges) == 0 {
		return
	}
	rows := make([]provider.StoreRow, 0, len(message.ListChanges))
	for _, row := range message.ListChanges {
		rows = append(rows, provider.StoreRow{
			Table: g.cfg.Tables.Upstreams, Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted,
		})
	}
	g.upstreamFollower.Update(now, rows)
}

// listPollTimeout returns how long a poll of the list may wait for changes. It is
// shorter for relays with members, which rely on a relay only while its last read of
// the list is recent.
func (g *Gateway) listPollTimeout() time.Duration {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.plan.IsRelay && len(st.plan.Members) > 0 {
		return time.Duration(listPollShare * float64(g.cfg.MaxLeavingDelay))
	}
	return upstreamPollTimeout
}

// relaysSendList reports whether a relay sends the changes of the list of upstreams in
// time and this entry has missed none, so that it need not poll the list often.
func (g *Gateway) relaysSendList(now time.Time) bool {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	share := memberListShare
	if st.plan.IsRelay {
		if st.readsList(now) {
			return false
		}
		share = relayListShare
	}
	version := g.upstreamFollower.Version()
	for _, source := range st.listSources {
		if now.Sub(source.readAt) < time.Duration(share*float64(g.cfg.MaxLeavingDelay)) && version > 0 && version >= source.requiredVersion {
			return true
		}
	}
	return false
}

// listAge returns the time since the store last confirmed the list of upstreams, to this
// entry or to a relay of which it has missed no change. The lock must be held.
func (g *Gateway) listAge(now time.Time) time.Duration {
	age, read := g.upstreamFollower.Age(now)
	if !read {
		return 0
	}
	version := g.upstreamFollower.Version()
	for _, source := range g.state.listSources {
		if version >= source.requiredVersion {
			age = min(age, now.Sub(source.readAt))
		}
	}
	return age
}

// readsList reports whether this relay is the one of its group that reads the list of
// upstreams for the others: no other one that sends messages has a lower ID. The lock must
// be held.
func (st *state) readsList(now time.Time) bool {
	return !slices.ContainsFunc(st.plan.Relays, func(id string) bool { return id < st.cfg.ID && st.sendsMessages(now, id) })
}

// sendsMessages reports whether an entry sends messages and goes on doing so. The lock must
// be held.
func (st *state) sendsMessages(now time.Time, id string) bool {
	p, known := st.peers[id]
	return known && !p.stopping && now.Sub(p.detector.LastReceived()) <= peerTimeout
}
