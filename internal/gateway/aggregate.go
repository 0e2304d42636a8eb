package gateway

import (
	"maps"
	"time"

	"github.com/galenahitch/galenahitch/internal/gossiper"
	"github.com/galenahitch/galenahitch/pkg/aggregator"
)

// ownMessage is what this entry tells of itself.
func (g *Gateway) ownMessage(now time.Time) peerMessage {
	b := g.state
	n := peerMessage{
		ID: g.cfg.ID, Boot: g.boot, Address: g.cfg.PeerListen, Domain: g.cfg.FailureDomain, Capacity: g.cfg.Capacity,
		Stopping: g.stopping.Load(), Kind: kindMember, Group: b.plan.Group, Entries: 1, ClockMS: now.UnixMilli(),
		Totals: aggregator.Totals{}, Load: map[uint32]uint32{}, Demand: b.ownDemand(now),
		Moves: b.moveUpdates(now),
	}
	for org, spent := range b.throttler.LocalSpending() {
		n.Totals[spentPrefix+org] = spent
	}
	for id, load := range b.router.OwnLoad() {
		n.Load[upstreamKey(id)] += toLoadUnits(load)
	}
	for name, total := range b.ownOutcomes {
		n.Totals[name] = total
	}
	if g.isLeader(now) {
		n.Leader = g.cfg.ID
	}
	if g.cfg.UsageWindow > 0 && (len(b.plan.Members) == 0 || n.Stopping || b.rounds%usageMessageRounds == 0) {
		n.Usage = b.accountant.LocalCounts(b.accountant.WindowAt(b.agreedTime(now)) - sentUsageWindows)
	}
	return n
}

// aggregates are what a relay has heard and tells itself, of its group and of all.
type aggregates struct {
	group, all aggregate
	// agreedClockMS is the time of day that most agree on, as a relay tells it to its
	// members, groupClockMS that of its group.
	agreedClockMS, groupClockMS int64
	listAge                     time.Duration
	listVersion                 uint64
}

type aggregate struct {
	entries int
	totals  aggregator.Totals
	load    map[uint32]uint32
	demand  map[string]demand
	leader  string
	domains map[string]bool
}

func (s *aggregate) add(n peerMessage) {
	s.entries += max(1, n.Entries)
	for key, load := range n.Load {
		s.load[key] += load
	}
	for name, d := range n.Demand {
		s.demand[name] = s.demand[name].plus(d)
	}
	if n.Leader != "" {
		s.leader = n.Leader
	}
	s.domains[n.Domain] = true
}

func newAggregate(totals ...aggregator.Totals) aggregate {
	s := aggregate{totals: aggregator.Totals{}, load: map[uint32]uint32{}, demand: map[string]demand{}, domains: map[string]bool{}}
	for _, t := range totals {
		for name, total := range t {
			s.totals[name] += total
		}
	}
	return s
}

// aggregateReceived adds up what is heard now.
func (b *state) aggregateReceived(now time.Time, own peerMessage) aggregates {
	s := aggregates{group: newAggregate(own.Totals, b.groupTotals), all: newAggregate(own.Totals, b.groupTotals, b.otherGroupTotals)}
	s.group.add(own)
	s.all.add(own)
	clocks := []time.Duration{0}
	for _, h := range b.received {
		if now.Sub(h.at) > peerTimeout {
			continue
		}
		s.all.add(h.message)
		if h.message.Kind == kindMember {
			s.group.add(h.message)
			clocks = append(clocks, h.clockOffset)
		}
	}
	s.groupClockMS = now.Add(medianOffset(clocks)).UnixMilli()
	s.agreedClockMS = b.agreedTime(now).UnixMilli()
	return s
}

// groupMessage is the news for the relays of other groups.
func (s *aggregates) groupMessage(plan aggregator.Plan, own peerMessage) peerMessage {
	n := own
	n.Kind, n.Group, n.Entries = kindGroup, plan.Group, s.group.entries
	n.Totals, n.Load, n.Demand, n.Leader, n.ClockMS = s.group.totals, s.group.load, s.group.demand, s.group.leader, s.groupClockMS
	if len(plan.Members) > 0 {
		n.Usage = nil
	}
	return n
}

// memberMessage is the news for a member of the own group: all but its own part.
func (s *aggregates) memberMessage(b *state, own peerMessage, id string) peerMessage {
	n := own
	n.Kind, n.Entries, n.Leader, n.ClockMS, n.Usage = kindOthers, s.all.entries, s.all.leader, s.agreedClockMS, nil
	n.Totals, n.Load, n.Demand = maps.Clone(s.all.totals), s.all.load, s.all.demand
	for name, passed := range b.memberTotals[id] {
		n.Totals[name] -= passed
	}
	n.LastChange, n.ListAgeMS, n.ListVersion = b.lastChange, s.listAge.Milliseconds(), s.listVersion
	for domain := range s.all.domains {
		n.Domains = append(n.Domains, domain)
	}
	h, ok := b.received[entryGroup(id)]
	if !ok {
		return n
	}
	n.Entries--
	n.Load, n.Demand = maps.Clone(n.Load), maps.Clone(n.Demand)
	for key, load := range h.message.Load {
		n.Load[key] -= min(load, n.Load[key])
	}
	for name, d := range h.message.Demand {
		n.Demand[name] = n.Demand[name].minus(d)
	}
	return n
}

// usageSource is when a process last told its usage to this entry.
type usageSource struct {
	id         string
	receivedAt time.Time
}

// usageMessages are messages to the holder of the duty with what the processes of this
// entry's group have begun.
func (b *state) usageMessages(now time.Time, own peerMessage) []gossiper.Envelope[peerMessage] {
	if b.cfg.UsageWindow <= 0 || len(b.plan.Members) == 0 || b.rounds%usageMessageRounds != 0 {
		return nil
	}
	to := b.peerAddresses([]string{b.otherLeader(now)})
	if len(to) == 0 {
		return nil
	}
	since := b.accountant.WindowAt(b.agreedTime(now)) - sentUsageWindows
	message := func() peerMessage {
		return peerMessage{
			ID: own.ID, Boot: own.Boot, Address: own.Address, Domain: own.Domain, Capacity: own.Capacity, Stopping: own.Stopping,
			Kind: kindUsage, Group: own.Group, UsageRecords: map[string]usageRecord{},
		}
	}
	next := message()
	next.UsageRecords[processName(own.ID, own.Boot)] = usageRecord{ID: own.ID, Usage: b.accountant.ProcessCounts(processName(own.ID, own.Boot), since)}
	var parcels []gossiper.Envelope[peerMessage]
	for process, told := range b.usageSources {
		if now.Sub(told.receivedAt) > keptUsageWindows*b.cfg.UsageWindow {
			delete(b.usageSources, process)
			continue
		}
		if len(next.UsageRecords) >= maxUsageRecords {
			parcels = append(parcels, gossiper.Envelope[peerMessage]{Receivers: to, Message: next})
			next = message()
		}
		next.UsageRecords[process] = usageRecord{ID: told.id, AgeMS: now.Sub(told.receivedAt).Milliseconds(), Usage: b.accountant.ProcessCounts(process, since)}
	}
	return append(parcels, gossiper.Envelope[peerMessage]{Receivers: to, Message: next})
}

// otherLeader returns the other entry that is heard to hold the duty, empty if none
// is. The lock must be held.
func (b *state) otherLeader(now time.Time) string {
	for _, h := range b.received {
		if h.message.Leader != "" && h.message.Leader != b.cfg.ID && now.Sub(h.at) <= peerTimeout {
			return h.message.Leader
		}
	}
	return ""
}
