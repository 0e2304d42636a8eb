package gateway

import (
	"maps"
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
	// An entry reads the list itself when it was not confirmed for these shares of
	// Config.MaxLeavingDelay: the other relay of the group before the members, so that it
	// goes on sending the changes. If that read gets no answer for listCheckShare, a check
	// over another connection asks.
	relayListShare  = 0.45
	memberListShare = 0.5
	listCheckShare  = 0.55
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

// maxEarlyChanges bounds the changes of a relay that are remembered although an earlier one
// is missing.
const maxEarlyChanges = 1024

// listSource is what this entry has of the changes of the list of upstreams that a relay
// numbers, in one series: since the start of its process and its last read of the whole
// list.
type listSource struct {
	boot     uint64
	snapshot provider.Version
	// This entry's list has all changes up to complete, if joined is true; before that
	// nothing is known of those before the first message. early are later ones that it has.
	joined   bool
	complete uint64
	early    map[uint64]bool
}

// receive records the changes of a message, which were applied, and returns whether this
// entry's list has all changes up to the message's LastChange. known is the version up to
// which it has all changes of the store.
func (s *listSource) receive(message peerMessage, known provider.Version) bool {
	if s.boot != message.Boot || s.snapshot != message.ListSnapshot {
		*s = listSource{boot: message.Boot, snapshot: message.ListSnapshot}
	}
	if known >= message.ListVersion {
		s.joined, s.complete = true, max(s.complete, message.LastChange)
	}
	if s.early == nil || len(s.early) > maxEarlyChanges {
		s.early = map[uint64]bool{}
	}
	for i := range uint64(len(message.ListChanges)) {
		s.early[message.LastChange-i] = true
	}
	for s.early[s.complete+1] {
		s.complete++
	}
	maps.DeleteFunc(s.early, func(number uint64, _ bool) bool { return number <= s.complete })
	return s.joined && s.complete >= message.LastChange
}

// receiveList applies the changes of the list of upstreams in a relay's message. If this
// entry has all changes of the relay, its list is as complete as the relay's was when the
// message was sent.
func (g *Gateway) receiveList(now time.Time, message peerMessage) {
	if message.Kind != kindOthers && message.Kind != kindUpstreams {
		return
	}
	if len(message.ListChanges) > 0 {
		rows := make([]provider.StoreRow, 0, len(message.ListChanges))
		for _, row := range message.ListChanges {
			rows = append(rows, provider.StoreRow{
				Table: g.cfg.Tables.Upstreams, Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted,
			})
		}
		g.upstreamFollower.Update(now, rows)
	}
	status, read := g.upstreamFollower.Status(g.cfg.LeaseNow(), false)
	if !read {
		return
	}
	st := g.state
	st.mu.Lock()
	source, known := st.listSources[message.ID]
	if !known {
		source = &listSource{}
		st.listSources[message.ID] = source
	}
	hasAll := source.receive(message, status.Complete)
	st.mu.Unlock()
	sentAfter, dated := message.Echo.sentAfter(g.cfg.LeaseNow(), g.boot)
	age := time.Duration(message.ListAgeMS) * time.Millisecond
	if message.Kind == kindOthers && message.ListSnapshot > 0 && hasAll && dated && age > 0 {
		g.upstreamFollower.Confirm(sentAfter.Add(-age), message.ListComplete)
	}
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

// relaysSendList reports whether this entry need not poll the list of upstreams soon, as a
// relay sends its changes and the list was confirmed a short time ago.
func (g *Gateway) relaysSendList(now time.Time) bool {
	status, read := g.upstreamFollower.Status(g.cfg.LeaseNow(), false)
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	share := memberListShare
	switch {
	case st.plan.IsRelay && st.readsList(now), len(st.plan.Relays) == 0:
		return false
	case st.plan.IsRelay:
		share = relayListShare
	}
	return read && status.Age < time.Duration(share*float64(g.cfg.MaxLeavingDelay))
}

// listAge returns the time since the store last confirmed the list of upstreams, to this
// entry or to a relay all of whose changes it has.
func (g *Gateway) listAge() time.Duration {
	status, read := g.upstreamFollower.Status(g.cfg.LeaseNow(), false)
	if !read {
		return 0
	}
	return status.Age
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
