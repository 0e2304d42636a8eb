package gateway

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/galenahitch/galenahitch/internal/gossiper"
	"github.com/galenahitch/galenahitch/pkg/aggregator"
)

const (
	// gossipInterval is the time between two messages to the same entry. It bounds
	// how much of a quota can be spent twice, and the age of the load data by which
	// upstreams are chosen.
	gossipInterval = 100 * time.Millisecond
	// usageMessageRounds is the number of rounds between two messages with usage in
	// groups whose relays forward it.
	usageMessageRounds = 10
	// maxUsageRecords bounds the usage records in one message, one for each process.
	maxUsageRecords = 12
	// sentUsageWindows is the number of ended usage windows that are sent.
	sentUsageWindows = 2
	// spentPrefix is the prefix of the counters of organisations' spending.
	spentPrefix = "q/"
)

// peer is another entry.
type peer struct {
	boot      uint64
	address   string
	domain    string
	capacity  float64
	rowReadAt time.Time
	// usageReceivedAt is the time up to which its counts of usage were received.
	usageReceivedAt time.Time
	detector        aggregator.FailureDetector
	// stampMS is the newest stamp of its process stampBoot, received at stampReceivedAt of the
	// steady clock.
	stampMS         int64
	stampBoot       uint64
	stampReceivedAt time.Time
	// stopping reports that its process is stopping.
	stopping bool
}

// recordStamp records the stamp of a message. Stamps of two processes can't be compared, as
// the sender's clock may have begun anew. now is a time of the steady clock.
func (p *peer) recordStamp(now time.Time, message peerMessage) {
	if message.StampMS > 0 && (message.Boot != p.stampBoot || message.StampMS > p.stampMS) {
		p.stampMS, p.stampBoot, p.stampReceivedAt = message.StampMS, message.Boot, now
	}
}

// echo returns what repeats the newest stamp of the peer, nil if there is none. now is a
// time of the steady clock.
func (p *peer) echo(now time.Time) *echo {
	if p.stampMS == 0 {
		return nil
	}
	return &echo{Boot: p.stampBoot, StampMS: p.stampMS, HeldMS: now.Sub(p.stampReceivedAt).Milliseconds()}
}

// receivedMessage is the newest message about one entry, a group of entries, or all
// other entries.
type receivedMessage struct {
	at      time.Time
	message peerMessage
	// clockOffset is the message's time of day minus that of this entry.
	clockOffset time.Duration
}

// processName names one start of an entry's process.
func processName(id string, boot uint64) string { return id + "/" + strconv.FormatUint(boot, 36) }

// memberCount returns the number of entries that may be serving, this one included.
// The lock must be held.
func (st *state) memberCount() int { return 1 + len(st.peers) }

// receive handles a message from another entry.
func (g *Gateway) receive(now time.Time, _ netip.AddrPort, message peerMessage) {
	if message.ID == g.cfg.ID || message.ID == "" {
		return
	}
	if message.Kind != kindUpstreams {
		g.applyMessage(now, message)
	}
	g.receiveList(now, message)
	g.observeTables(message)
}

func (g *Gateway) applyMessage(now time.Time, message peerMessage) {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	p, known := st.peers[message.ID]
	if known && p.boot > message.Boot && now.Sub(p.detector.LastReceived()) <= peerTimeout {
		return
	}
	st.mergeUsage(now, message)
	st.mergeMoves(now, message.Moves)
	st.mergeRecords(now, message)
	g.leader.recordRenewal(g.cfg.LeaseNow(), message.Renewal)
	if message.Stopping {
		st.stoppingBoots[message.ID] = message.Boot
	}
	stopping := st.stoppingBoots[message.ID] == message.Boot
	if stopping && !known {
		// The entry finishes its accepted requests and is no longer a member.
		st.aggregateMessage(now, message)
		return
	}
	if !known {
		p = &peer{rowReadAt: now}
		st.peers[message.ID] = p
		g.cfg.Log.Info().Str("event", "peer_found").Str("peer", message.ID).Str("address", message.Address).Int("members", st.memberCount()).Send()
	} else if lastReceived := p.detector.LastReceived(); !lastReceived.IsZero() && now.Sub(lastReceived) > st.silenceLimit(message.ID) {
		g.cfg.Log.Info().Str("event", "peer_back").Str("peer", message.ID).Dur("silent", now.Sub(lastReceived)).Send()
	}
	if message.Kind == kindMember || message.Kind == kindGroup && message.Group == message.ID {
		p.usageReceivedAt = now
	}
	p.recordStamp(g.cfg.LeaseNow(), message)
	p.boot, p.address, p.domain, p.capacity = message.Boot, message.Address, message.Domain, message.Capacity
	p.detector.Received(now)
	p.stopping = stopping
	if !known {
		st.applyMemberCount(now)
	}
	st.aggregateMessage(now, message)
}

// dropSource removes a source of a group's messages, and the group's last message if
// no other source is left.
func (st *state) dropSource(now time.Time, group, source string) {
	if !st.aggregator.Drop(group, source) {
		st.replaceReceived(now, group, nil)
	}
}

// aggregateMessage adds the counters, load and demand of a message to the state. A relay
// ignores messages of kindOthers, and an entry that is not a relay ignores all other
// kinds. Both ignore messages of kindUsage.
func (st *state) aggregateMessage(now time.Time, message peerMessage) {
	if message.Kind == kindUsage || st.plan.IsRelay == (message.Kind == kindOthers) {
		return
	}
	group := st.messageGroup(message)
	st.addTotals(message, st.aggregator.Merge(now, newReport(message, group)))
	if st.aggregator.Active(group, message.ID) {
		st.replaceReceived(now, group, &receivedMessage{at: now, message: message, clockOffset: time.Duration(message.ClockMS-now.UnixMilli()) * time.Millisecond})
	}
	st.throttler.SetReachableEntries(now, 1+st.aggregator.Entries(now))
}

// othersGroup is the aggregator's group for a relay's messages about all entries
// except the receiver.
const othersGroup = "others"

// entryGroup returns the aggregator's group for an entry's messages about itself.
func entryGroup(id string) string { return "entry/" + id }

// relayGroup returns the aggregator's group for the messages of relays about their
// group.
func relayGroup(group string) string { return "group/" + group }

// messageGroup returns the aggregator's group for a message.
func (st *state) messageGroup(message peerMessage) string {
	switch message.Kind {
	case kindOthers:
		return othersGroup
	case kindMember:
		return entryGroup(message.ID)
	default:
		return relayGroup(message.Group)
	}
}

func newReport(message peerMessage, group string) aggregator.Report {
	return aggregator.Report{Group: group, Source: message.ID, Boot: message.Boot, Entries: max(1, message.Entries), Totals: message.Totals}
}

// addTotals adds increments of other entries' counters to the totals that this entry
// sends as a relay, and charges remote spending to the quotas.
func (st *state) addTotals(message peerMessage, increments aggregator.Totals) {
	spent := map[string]float64{}
	for name, increment := range increments {
		switch message.Kind {
		case kindMember:
			st.groupTotals[name] += increment
			totals, ok := st.memberTotals[message.ID]
			if !ok {
				totals = aggregator.Totals{}
				st.memberTotals[message.ID] = totals
			}
			totals[name] += increment
		default:
			st.otherGroupTotals[name] += increment
		}
		if len(name) > len(spentPrefix) && name[:len(spentPrefix)] == spentPrefix {
			spent[name[len(spentPrefix):]] += increment
		}
	}
	st.throttler.AddRemoteSpending(spent)
}

// mergeUsage merges the counts of usage of the sender and of the processes whose
// records it forwards.
func (st *state) mergeUsage(now time.Time, message peerMessage) {
	if len(message.Usage) > 0 {
		process := processName(message.ID, message.Boot)
		st.accountant.Merge(process, message.Usage)
		if message.Kind == kindMember {
			st.usageSources[process] = usageSource{id: message.ID, receivedAt: now}
		}
	}
	for process, record := range message.UsageRecords {
		st.accountant.Merge(process, record.Usage)
		if p, ok := st.peers[record.ID]; ok {
			if receivedAt := now.Add(-record.age()); receivedAt.After(p.usageReceivedAt) {
				p.usageReceivedAt = receivedAt
			}
		}
	}
}

// replaceReceived replaces the last message of a group and updates the router's remote
// load. Nil removes the last message.
func (st *state) replaceReceived(now time.Time, group string, replacement *receivedMessage) {
	changedKeys := map[uint32]bool{}
	if old, ok := st.received[group]; ok {
		for key, oldLoad := range old.message.Load {
			st.remoteLoad[key] -= int(oldLoad)
			changedKeys[key] = true
		}
		delete(st.received, group)
	}
	if replacement != nil {
		st.received[group] = *replacement
		for key, load := range replacement.message.Load {
			st.remoteLoad[key] += int(load)
			changedKeys[key] = true
		}
	}
	for key := range changedKeys {
		if id, ok := st.idByKey[key]; ok {
			st.router.SetRemoteLoad(now, id, float64(max(0, st.remoteLoad[key]))*loadUnit)
		}
	}
}

// silenceLimit returns how long an entry must be silent for its next message to be
// logged. It is longer if this entry's group has other members, as most entries then
// send no messages to this entry.
func (st *state) silenceLimit(id string) time.Duration {
	if st.plan.Group == id || len(st.plan.Members) == 0 {
		return peerTimeout
	}
	return memberRowTimeout
}

// applyMemberCount applies the number of entries to the quotas that they share, and
// updates the plan.
func (st *state) applyMemberCount(now time.Time) {
	st.throttler.SetKnownEntries(st.memberCount())
	st.updatePlan(now)
}

// updatePlan plans which entries exchange messages.
func (st *state) updatePlan(now time.Time) {
	self := aggregator.Member{ID: st.cfg.ID, Domain: st.cfg.FailureDomain, Capacity: st.cfg.Capacity}
	others := make([]aggregator.Member, 0, len(st.peers))
	for id, p := range st.peers {
		others = append(others, aggregator.Member{ID: id, Domain: p.domain, Capacity: p.capacity, Silent: p.stopping || p.detector.Silent(now, peerTimeout)})
	}
	previous := st.plan
	st.plan = aggregator.NewPlan(self, others)
	if previous.IsRelay != st.plan.IsRelay || previous.Group != st.plan.Group {
		// Messages received in the old role do not apply to the new one.
		st.aggregator = aggregator.New(peerTimeout)
		for group := range st.received {
			st.replaceReceived(now, group, nil)
		}
		st.log.Info().Str("event", "exchange_planned").Str("group", st.plan.Group).Bool("relay", st.plan.IsRelay).
			Int("members", st.memberCount()).Send()
	}
	st.updateExpected(now)
}

// updateExpected sets from which entries the failure detectors expect messages.
func (st *state) updateExpected(now time.Time) {
	expected := map[string]bool{}
	for _, id := range st.plan.Relays {
		expected[id] = true
	}
	if st.plan.IsRelay {
		for _, relays := range st.plan.RemoteRelays {
			for _, id := range relays {
				expected[id] = true
			}
		}
	}
	for id, p := range st.peers {
		p.detector.Expect(now, expected[id], peerTimeout)
	}
}

// roundMessages returns the messages of one round.
func (g *Gateway) roundMessages(now time.Time) []gossiper.Envelope[peerMessage] {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	st.applyReachability(now)
	st.router.SetEntryCount(st.memberCount())
	st.prefixes.SetEntries(st.memberCount())
	st.logAvoided(now)
	st.updatePlan(now)
	st.compareVersions()
	st.logComparisons(now)
	st.rounds++
	st.memberPeak.update(now, st.memberCount(), st.cfg.Quotas.RetryWindow)
	own := g.ownMessage(now)
	own.CrashRecords = st.nextRecords(now)
	own.Survivals = st.quarantine.isolator.Survivals(now, maxSentSurvivals)
	envelopes := []gossiper.Envelope[peerMessage]{{Receivers: st.peerAddresses(st.plan.Relays), Message: own}}
	if !st.plan.IsRelay {
		return envelopes
	}
	aggregated := st.aggregateReceived(now, own)
	aggregated.list, _ = g.upstreamFollower.Status(g.cfg.LeaseNow(), true)
	listVersion := max(aggregated.list.Complete, st.maxChangeVersion)
	if len(st.plan.Members) > 0 {
		aggregated.tables = g.tableStatuses(true)
	}
	var relays []string
	for _, ids := range st.plan.RemoteRelays {
		relays = append(relays, ids...)
	}
	envelopes = append(envelopes, gossiper.Envelope[peerMessage]{Receivers: st.peerAddresses(relays), Message: aggregated.groupMessage(st.plan, own)})
	for _, message := range st.listMessages(now) {
		message.ListSnapshot = aggregated.list.Snapshot
		message.ID, message.Boot, message.ListVersion = own.ID, own.Boot, listVersion
		envelopes = append(envelopes, gossiper.Envelope[peerMessage]{Receivers: st.peerAddresses(st.plan.Members), Message: message})
	}
	for _, id := range st.plan.Members {
		envelopes = append(envelopes, gossiper.Envelope[peerMessage]{Receivers: st.peerAddresses([]string{id}), Message: aggregated.memberMessage(st, own, id, g.cfg.LeaseNow())})
	}
	return append(envelopes, st.usageMessages(now, own)...)
}

// peerAddresses returns the addresses at which entries receive messages. Entries
// without a known address are left out.
func (st *state) peerAddresses(ids []string) []string {
	addresses := make([]string, 0, len(ids))
	for _, id := range ids {
		if p, ok := st.peers[id]; ok && p.address != "" {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}
