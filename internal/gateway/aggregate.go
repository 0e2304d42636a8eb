package gateway

import (
	"maps"
	"time"

	"github.com/galenahitch/galenahitch/internal/follower"
	"github.com/galenahitch/galenahitch/internal/gossiper"
	"github.com/galenahitch/galenahitch/pkg/aggregator"
)

// ownMessage returns this entry's message about itself.
func (g *Gateway) ownMessage(now time.Time) peerMessage {
	st := g.state
	message := peerMessage{
		ID: g.cfg.ID, Boot: g.boot, Address: g.cfg.PeerListen, Domain: g.cfg.FailureDomain, Capacity: g.cfg.Capacity,
		Stopping: g.stopping.Load(), Kind: kindMember, Group: st.plan.Group, Entries: 1, ClockMS: now.UnixMilli(),
		Totals: aggregator.Totals{}, Load: map[uint32]uint32{}, Demand: st.ownDemand(now),
		Moves: st.moveUpdates(now), Tables: g.tableStatuses(false), Renewal: g.leader.renewalMessage(g.cfg.LeaseNow()),
	}
	if len(st.plan.Relays) > 0 {
		message.StampMS = g.cfg.LeaseNow().UnixMilli()
	}
	for org, spent := range st.throttler.LocalSpending() {
		message.Totals[spentPrefix+org] = spent
	}
	for id, load := range st.router.OwnLoad() {
		message.Load[upstreamKey(id)] += toLoadUnits(load)
	}
	for name, total := range st.ownOutcomes {
		message.Totals[name] = total
	}
	if g.isLeader() {
		message.Leader = g.cfg.ID
	}
	if g.cfg.UsageWindow > 0 && (len(st.plan.Members) == 0 || message.Stopping || st.rounds%usageMessageRounds == 0) {
		message.Usage = st.accountant.LocalCounts(st.accountant.WindowAt(st.agreedTime(now)) - sentUsageWindows)
	}
	return message
}

// aggregates are the sums of the received messages and the relay's own message, over
// its group and over all entries.
type aggregates struct {
	group, all aggregate
	// agreedClockMS is the agreed time of day that a relay sends to its members,
	// groupClockMS the median time of its group, both in Unix milliseconds.
	agreedClockMS, groupClockMS int64
	// list is the status of the list of upstreams by the store's answers to the relay.
	list follower.Status
	// tables are the statuses of tables for the members.
	tables map[sharedTable]tableStatus
}

// aggregate is the sum of messages over several entries.
type aggregate struct {
	entries int
	totals  aggregator.Totals
	load    map[uint32]uint32
	demand  map[string]demand
	leader  string
	domains map[string]bool
}

func (a *aggregate) add(message peerMessage) {
	a.entries += max(1, message.Entries)
	for key, load := range message.Load {
		a.load[key] += load
	}
	for name, d := range message.Demand {
		a.demand[name] = a.demand[name].plus(d)
	}
	if message.Leader != "" {
		a.leader = message.Leader
	}
	a.domains[message.Domain] = true
}

// newAggregate returns an aggregate of no messages with the sum of the given totals.
func newAggregate(totals ...aggregator.Totals) aggregate {
	sum := aggregate{totals: aggregator.Totals{}, load: map[uint32]uint32{}, demand: map[string]demand{}, domains: map[string]bool{}}
	for _, t := range totals {
		for name, total := range t {
			sum.totals[name] += total
		}
	}
	return sum
}

// aggregateReceived adds up the messages received within peerTimeout and this entry's
// own message.
func (st *state) aggregateReceived(now time.Time, own peerMessage) aggregates {
	totals := aggregates{group: newAggregate(own.Totals, st.groupTotals), all: newAggregate(own.Totals, st.groupTotals, st.otherGroupTotals)}
	totals.group.add(own)
	totals.all.add(own)
	clockOffsets := []time.Duration{0}
	for _, last := range st.received {
		if now.Sub(last.at) > peerTimeout {
			continue
		}
		totals.all.add(last.message)
		if last.message.Kind == kindMember {
			totals.group.add(last.message)
			clockOffsets = append(clockOffsets, last.clockOffset)
		}
	}
	totals.groupClockMS = now.Add(medianOffset(clockOffsets)).UnixMilli()
	totals.agreedClockMS = st.agreedTime(now).UnixMilli()
	return totals
}

// groupMessage returns the message about this group for the relays of other groups.
func (a *aggregates) groupMessage(plan aggregator.Plan, own peerMessage) peerMessage {
	message := own
	message.Kind, message.Group, message.Entries = kindGroup, plan.Group, a.group.entries
	message.Totals, message.Load, message.Demand, message.Leader, message.ClockMS = a.group.totals, a.group.load, a.group.demand, a.group.leader, a.groupClockMS
	message.StampMS = 0
	if len(plan.Members) > 0 {
		message.Usage = nil
	}
	return message
}

// memberMessage returns the message for a member of this entry's group about all entries
// except that member: the aggregate over all entries minus the member's part. steady is the
// time of the steady clock.
func (a *aggregates) memberMessage(st *state, own peerMessage, id string, steady time.Time) peerMessage {
	message := own
	message.Kind, message.Entries, message.Leader, message.ClockMS, message.Usage = kindOthers, a.all.entries, a.all.leader, a.agreedClockMS, nil
	message.Totals, message.Load, message.Demand = maps.Clone(a.all.totals), a.all.load, a.all.demand
	for name, memberTotal := range st.memberTotals[id] {
		message.Totals[name] -= memberTotal
	}
	message.Tables = a.tables
	message.StampMS, message.Echo = 0, st.peers[id].echo(steady)
	message.LastChange, message.ListVersion = st.lastChange, max(a.list.Complete, st.maxChangeVersion)
	if a.list.Snapshot > 0 {
		message.ListAgeMS, message.ListComplete, message.ListSnapshot = a.list.Age.Milliseconds()+1, a.list.Complete, a.list.Snapshot
	}
	for domain := range a.all.domains {
		message.Domains = append(message.Domains, domain)
	}
	last, ok := st.received[entryGroup(id)]
	if !ok {
		return message
	}
	message.Entries--
	message.Load, message.Demand = maps.Clone(message.Load), maps.Clone(message.Demand)
	for key, load := range last.message.Load {
		message.Load[key] -= min(load, message.Load[key])
	}
	for name, d := range last.message.Demand {
		message.Demand[name] = message.Demand[name].minus(d)
	}
	return message
}

// usageSource is the entry that a process belongs to and the time when the last usage of
// the process was received.
type usageSource struct {
	id         string
	receivedAt time.Time
}

// usageMessages returns messages to the leader with the usage records of the processes
// of this entry's group.
func (st *state) usageMessages(now time.Time, own peerMessage) []gossiper.Envelope[peerMessage] {
	if st.cfg.UsageWindow <= 0 || len(st.plan.Members) == 0 || st.rounds%usageMessageRounds != 0 {
		return nil
	}
	receivers := st.peerAddresses([]string{st.otherLeader(now)})
	if len(receivers) == 0 {
		return nil
	}
	since := st.accountant.WindowAt(st.agreedTime(now)) - sentUsageWindows
	newMessage := func() peerMessage {
		return peerMessage{
			ID: own.ID, Boot: own.Boot, Address: own.Address, Domain: own.Domain, Capacity: own.Capacity, Stopping: own.Stopping,
			Kind: kindUsage, Group: own.Group, UsageRecords: map[string]usageRecord{},
		}
	}
	message := newMessage()
	message.UsageRecords[processName(own.ID, own.Boot)] = usageRecord{ID: own.ID, Usage: st.accountant.ProcessCounts(processName(own.ID, own.Boot), since)}
	var envelopes []gossiper.Envelope[peerMessage]
	for process, source := range st.usageSources {
		if now.Sub(source.receivedAt) > keptUsageWindows*st.cfg.UsageWindow {
			delete(st.usageSources, process)
			continue
		}
		if len(message.UsageRecords) >= maxUsageRecords {
			envelopes = append(envelopes, gossiper.Envelope[peerMessage]{Receivers: receivers, Message: message})
			message = newMessage()
		}
		message.UsageRecords[process] = usageRecord{ID: source.id, AgeMS: now.Sub(source.receivedAt).Milliseconds(), Usage: st.accountant.ProcessCounts(process, since)}
	}
	return append(envelopes, gossiper.Envelope[peerMessage]{Receivers: receivers, Message: message})
}

// otherLeader returns the other entry that a recent message reports as the leader,
// empty if there is none. The lock must be held.
func (st *state) otherLeader(now time.Time) string {
	for _, last := range st.received {
		if last.message.Leader != "" && last.message.Leader != st.cfg.ID && now.Sub(last.at) <= peerTimeout {
			return last.message.Leader
		}
	}
	return ""
}
