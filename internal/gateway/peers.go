package gateway

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/galenahitch/galenahitch/internal/gossiper"
	"github.com/galenahitch/galenahitch/pkg/aggregator"
)

const (
	// gossipInterval is the time between two messages to the same entry. It
	// bounds how much of a quota can be spent twice, and how old the load is by
	// which upstreams are picked.
	gossipInterval = 100 * time.Millisecond
	// usageMessageRounds is the number of messages of which one carries usage, where
	// relays pass it on.
	usageMessageRounds = 10
	// maxUsageRecords bounds the processes in one message.
	maxUsageRecords = 12
	// sentUsageWindows is the number of ended windows of usage that are told.
	sentUsageWindows = 2
	// spentPrefix begins the counters of what organisations spent.
	spentPrefix = "q/"
)

// peer is another entry.
type peer struct {
	boot      uint64
	address   string
	domain    string
	capacity  float64
	rowReadAt time.Time
	// usageReceivedAt is the time as of which its usage is known.
	usageReceivedAt time.Time
	detector        aggregator.FailureDetector
	// stopping says that its process was told to stop.
	stopping bool
}

// receivedMessage is the newest news of one entry or of several.
type receivedMessage struct {
	at      time.Time
	message peerMessage
	// clockOffset is how far the time of day there is clockOffset of this entry's.
	clockOffset time.Duration
}

// processName names one start of an entry's process.
func processName(id string, boot uint64) string { return id + "/" + strconv.FormatUint(boot, 36) }

// memberCount counts the entries that may be serving, this one included. The lock
// must be held.
func (b *state) memberCount() int { return 1 + len(b.peers) }

// receive takes another entry's news.
func (g *Gateway) receive(now time.Time, _ netip.AddrPort, n peerMessage) {
	if n.ID == g.cfg.ID || n.ID == "" {
		return
	}
	if n.Kind != kindUpstreams {
		g.applyMessage(now, n)
	}
	g.receiveList(now, n)
}

func (g *Gateway) applyMessage(now time.Time, n peerMessage) {
	b := g.state
	b.mu.Lock()
	defer b.mu.Unlock()
	p, known := b.peers[n.ID]
	if known && p.boot > n.Boot && now.Sub(p.detector.LastReceived()) <= peerTimeout {
		return
	}
	b.mergeUsage(now, n)
	b.mergeMoves(now, n.Moves)
	if n.Stopping && !known {
		// It serves what it has accepted, and is no member any more.
		b.aggregateMessage(now, n)
		return
	}
	if !known {
		p = &peer{rowReadAt: now}
		b.peers[n.ID] = p
		g.cfg.Log.Info().Str("event", "peer_found").Str("peer", n.ID).Str("address", n.Address).Int("members", b.memberCount()).Send()
	} else if last := p.detector.LastReceived(); !last.IsZero() && now.Sub(last) > b.silenceLimit(n.ID) {
		g.cfg.Log.Info().Str("event", "peer_back").Str("peer", n.ID).Dur("silent", now.Sub(last)).Send()
	}
	if n.Kind == kindMember || n.Kind == kindGroup && n.Group == n.ID {
		p.usageReceivedAt = now
	}
	p.boot, p.address, p.domain, p.capacity = n.Boot, n.Address, n.Domain, n.Capacity
	p.detector.Received(now)
	p.stopping = n.Stopping
	if !known {
		b.applyMemberCount(now)
	}
	b.aggregateMessage(now, n)
}

// dropSource forgets a source of a group's news.
func (b *state) dropSource(now time.Time, group, source string) {
	if !b.aggregator.Drop(group, source) {
		b.replaceReceived(now, group, nil)
	}
}

// aggregateMessage takes news as its sender's voice and this entry's part in the
// exchange ask for.
func (b *state) aggregateMessage(now time.Time, n peerMessage) {
	if n.Kind == kindUsage || b.plan.IsRelay == (n.Kind == kindOthers) {
		return
	}
	group := b.sourceGroup(n)
	b.addTotals(n, b.aggregator.Merge(now, newReport(n, group)))
	if b.aggregator.Active(group, n.ID) {
		b.replaceReceived(now, group, &receivedMessage{at: now, message: n, clockOffset: time.Duration(n.ClockMS-now.UnixMilli()) * time.Millisecond})
	}
	b.throttler.SetReachableEntries(now, 1+b.aggregator.Entries(now))
}

// othersGroup is all entries but this one, as a relay tells of them.
const othersGroup = "others"

// entryGroup names the group of one entry's own news.
func entryGroup(id string) string { return "entry/" + id }

// relayGroup names what the relays of a group tell.
func relayGroup(group string) string { return "group/" + group }

// sourceGroup names what a message speaks for.
func (b *state) sourceGroup(n peerMessage) string {
	switch n.Kind {
	case kindOthers:
		return othersGroup
	case kindMember:
		return entryGroup(n.ID)
	default:
		return relayGroup(n.Group)
	}
}

func newReport(n peerMessage, group string) aggregator.Report {
	return aggregator.Report{Group: group, Source: n.ID, Boot: n.Boot, Entries: max(1, n.Entries), Totals: n.Totals}
}

// addTotals takes what counters elsewhere have grown by, and adds it to what this
// entry tells as a relay.
func (b *state) addTotals(n peerMessage, more aggregator.Totals) {
	spent := map[string]float64{}
	for name, by := range more {
		switch n.Kind {
		case kindMember:
			b.groupTotals[name] += by
			own, ok := b.memberTotals[n.ID]
			if !ok {
				own = aggregator.Totals{}
				b.memberTotals[n.ID] = own
			}
			own[name] += by
		default:
			b.otherGroupTotals[name] += by
		}
		if len(name) > len(spentPrefix) && name[:len(spentPrefix)] == spentPrefix {
			spent[name[len(spentPrefix):]] += by
		}
	}
	b.throttler.AddRemoteSpending(spent)
}

// mergeUsage takes counts of usage, of the sender or of others.
func (b *state) mergeUsage(now time.Time, n peerMessage) {
	if len(n.Usage) > 0 {
		process := processName(n.ID, n.Boot)
		b.accountant.Merge(process, n.Usage)
		if n.Kind == kindMember {
			b.usageSources[process] = usageSource{id: n.ID, receivedAt: now}
		}
	}
	for process, r := range n.UsageRecords {
		b.accountant.Merge(process, r.Usage)
		if p, ok := b.peers[r.ID]; ok {
			if at := now.Add(-r.age()); at.After(p.usageReceivedAt) {
				p.usageReceivedAt = at
			}
		}
	}
}

// replaceReceived puts the newest news of a group in place of what was heard before.
// Nil drops it.
func (b *state) replaceReceived(now time.Time, group string, h *receivedMessage) {
	touched := map[uint32]bool{}
	if old, ok := b.received[group]; ok {
		for key, was := range old.message.Load {
			b.remoteLoad[key] -= int(was)
			touched[key] = true
		}
		delete(b.received, group)
	}
	if h != nil {
		b.received[group] = *h
		for key, is := range h.message.Load {
			b.remoteLoad[key] += int(is)
			touched[key] = true
		}
	}
	for key := range touched {
		if id, ok := b.idByKey[key]; ok {
			b.router.SetRemoteLoad(now, id, float64(max(0, b.remoteLoad[key]))*loadUnit)
		}
	}
}

// silenceLimit is how long an entry is not heard before that is news.
func (b *state) silenceLimit(id string) time.Duration {
	if b.plan.Group == id || len(b.plan.Members) == 0 {
		return peerTimeout
	}
	return memberRowTimeout
}

// applyMemberCount fits what is shared between entries to their number, and plans who
// tells whom.
func (b *state) applyMemberCount(now time.Time) {
	b.throttler.SetKnownEntries(b.memberCount())
	if r := b.resolver.Load(); r != nil {
		b.resizeRetryBudgets(r)
	}
	b.updatePlan(now)
}

// updatePlan plans who tells whom.
func (b *state) updatePlan(now time.Time) {
	self := aggregator.Member{ID: b.cfg.ID, Domain: b.cfg.FailureDomain, Capacity: b.cfg.Capacity}
	others := make([]aggregator.Member, 0, len(b.peers))
	for id, p := range b.peers {
		others = append(others, aggregator.Member{ID: id, Domain: p.domain, Capacity: p.capacity, Silent: p.stopping || p.detector.Silent(now, peerTimeout)})
	}
	was := b.plan
	b.plan = aggregator.NewPlan(self, others)
	if was.IsRelay != b.plan.IsRelay || was.Group != b.plan.Group {
		// What was heard in the other part says nothing in this one.
		b.aggregator = aggregator.New(peerTimeout)
		for group := range b.received {
			b.replaceReceived(now, group, nil)
		}
		b.log.Info().Str("event", "exchange_planned").Str("group", b.plan.Group).Bool("relay", b.plan.IsRelay).
			Int("members", b.memberCount()).Send()
	}
	b.updateExpected(now)
}

// updateExpected notes from whom news is to come.
func (b *state) updateExpected(now time.Time) {
	expected := map[string]bool{}
	for _, id := range b.plan.Relays {
		expected[id] = true
	}
	if b.plan.IsRelay {
		for _, relays := range b.plan.RemoteRelays {
			for _, id := range relays {
				expected[id] = true
			}
		}
	}
	for id, p := range b.peers {
		p.detector.Expect(now, expected[id], peerTimeout)
	}
}

// roundMessages returns the messages of one round.
func (g *Gateway) roundMessages(now time.Time) []gossiper.Envelope[peerMessage] {
	b := g.state
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.SetDomainPenalties(b.domainPenalties(now))
	b.updatePlan(now)
	b.compareVersions()
	b.rounds++
	own := g.ownMessage(now)
	parcels := []gossiper.Envelope[peerMessage]{{Receivers: b.peerAddresses(b.plan.Relays), Message: own}}
	if !b.plan.IsRelay {
		return parcels
	}
	s := b.aggregateReceived(now, own)
	age, ever := g.upstreamFollower.Age(now)
	if !ever {
		age = time.Hour
	}
	s.listAge, s.listVersion = age, max(g.upstreamFollower.Version(), b.maxChangeVersion)
	var relays []string
	for _, ids := range b.plan.RemoteRelays {
		relays = append(relays, ids...)
	}
	parcels = append(parcels, gossiper.Envelope[peerMessage]{Receivers: b.peerAddresses(relays), Message: s.groupMessage(b.plan, own)})
	for _, n := range b.listMessages(now) {
		n.ID, n.Boot, n.ListVersion = own.ID, own.Boot, s.listVersion
		parcels = append(parcels, gossiper.Envelope[peerMessage]{Receivers: b.peerAddresses(b.plan.Members), Message: n})
	}
	for _, id := range b.plan.Members {
		parcels = append(parcels, gossiper.Envelope[peerMessage]{Receivers: b.peerAddresses([]string{id}), Message: s.memberMessage(b, own, id)})
	}
	return append(parcels, b.usageMessages(now, own)...)
}

// peerAddresses returns where entries listen for news.
func (b *state) peerAddresses(ids []string) []string {
	addresses := make([]string, 0, len(ids))
	for _, id := range ids {
		if p, ok := b.peers[id]; ok && p.address != "" {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}
