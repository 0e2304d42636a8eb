package gateway

import (
	"slices"
	"time"

	"github.com/galenahitch/galenahitch/internal/follower"
	"github.com/galenahitch/galenahitch/internal/provider"
)

// A change of a table must reach each entry within a bound, whatever happens to the entries
// on which it relies. These are the shares of the bound after which an entry asks the store
// itself whether its copy is up to date, unless the store or another entry has confirmed it.
// The first relay asks before the others, who hear of the answer, and relays before members.
const (
	firstFreshShare = 0.25
	relayFreshShare = 0.38
	// relyShare is the share after which a member no longer waits for the signs of its relays
	// and polls the store: a relay that sends messages need not follow the store.
	relyShare        = 0.42
	memberFreshShare = 0.45
	// checkTimeoutShare is the share of one call without an answer, after which a second
	// call opens a new connection. minCheckTimeout is enough for a slow store's answer.
	checkTimeoutShare = 0.2
	minCheckTimeout   = 450 * time.Millisecond
	// minPeerLead and memberPeerLead are how long a change may take to arrive at one entry
	// later than at another: the time of a message, and that of the store's answers to all
	// others.
	minPeerLead    = 150 * time.Millisecond
	memberPeerLead = 500 * time.Microsecond
	// unconfirmedAge is the age of a copy whose confirmation must not be passed on.
	unconfirmedAge = time.Hour
)

func shareOf(share float64, d time.Duration) time.Duration {
	return time.Duration(share * float64(d))
}

// checkTimeout returns how long one call of a check may take.
func checkTimeout(bound time.Duration) time.Duration {
	return max(minCheckTimeout, shareOf(checkTimeoutShare, bound))
}

// MaxUnconfirmed returns the longest time for which an entry that reaches the store acts on
// a copy of a table that the store has not confirmed, if changes have to reach it within a
// bound. One of its calls may stay without an answer.
func MaxUnconfirmed(bound time.Duration) time.Duration {
	return shareOf(memberFreshShare, bound) + checkTimeout(bound)
}

// configBound and listBound return the bounds for changes of the operator's table and of the
// list of upstreams. All others have MaxStaleness.
func (cfg *Config) configBound() time.Duration { return min(cfg.MaxConfigDelay, cfg.MaxStaleness) }

func (cfg *Config) listBound() time.Duration { return min(cfg.MaxLeavingDelay, cfg.MaxStaleness) }

// sharedTable names a table in messages.
type sharedTable uint8

const (
	operatorTable sharedTable = iota
	upstreamTable
	quarantineTable
)

// tableStatus is a follower.Status in a message.
type tableStatus struct {
	_      struct{} `cbor:",toarray"`
	Newest provider.Version
	AgeMS  int64
}

func (s tableStatus) decode() follower.Status {
	return follower.Status{Newest: s.Newest, Age: time.Duration(s.AgeMS) * time.Millisecond}
}

// sharedFollowers returns the followers of the tables whose status entries exchange.
func (g *Gateway) sharedFollowers() map[sharedTable]*follower.Follower {
	return map[sharedTable]*follower.Follower{operatorTable: g.configFollower, upstreamTable: g.upstreamFollower, quarantineTable: g.quarantineFollower}
}

// freshFor returns for how long a copy of a table counts as up to date, if changes have to
// arrive within a bound.
func (g *Gateway) freshFor(bound time.Duration) time.Duration {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	share := relayFreshShare
	switch {
	case !g.state.plan.IsRelay:
		share = memberFreshShare
	case g.state.isFirstRelay(g.cfg.Now()):
		share = firstFreshShare
	}
	return shareOf(share, bound)
}

// relaysConfirm reports whether a relay's messages tell this entry how up to date its copies
// of tables are.
func (g *Gateway) relaysConfirm(now time.Time) bool {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	return !st.plan.IsRelay && slices.ContainsFunc(st.plan.Relays, func(id string) bool { return st.sendsMessages(now, id) })
}

// peerLead returns how long a change that another entry has may take to arrive.
func (g *Gateway) peerLead() time.Duration {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	return minPeerLead + time.Duration(g.state.memberCount())*memberPeerLead
}

// listFreshFor is freshFor for the list of upstreams, of which members hear from relays.
func (g *Gateway) listFreshFor() time.Duration {
	return min(g.freshFor(g.cfg.MaxStaleness), shareOf(listCheckShare, g.cfg.MaxLeavingDelay))
}

// isFirstRelay reports whether no other relay that sends messages has a lower ID. The lock
// must be held.
func (st *state) isFirstRelay(now time.Time) bool {
	isEarlier := func(id string) bool { return id < st.cfg.ID && st.sendsMessages(now, id) }
	if slices.ContainsFunc(st.plan.Relays, isEarlier) {
		return false
	}
	for _, relays := range st.plan.RemoteRelays {
		if slices.ContainsFunc(relays, isEarlier) {
			return false
		}
	}
	return true
}

// tableStatuses returns the status of the tables for a message. For a relay it is that by
// the store's answers to this entry: what others have confirmed would come back to them
// ever younger, as the time of a message is not known. The lock must be held.
func (g *Gateway) tableStatuses(toMember bool) map[sharedTable]tableStatus {
	st := g.state
	now := g.cfg.LeaseNow()
	statuses := map[sharedTable]tableStatus{}
	for table, f := range g.sharedFollowers() {
		status, known := f.Status(now, !toMember)
		if toMember {
			// This entry may be unable to read what it has heard of.
			status.Newest = max(status.Newest, status.Known)
		}
		if !known || table == upstreamTable && (toMember || !st.plan.IsRelay) {
			continue
		}
		if table == upstreamTable {
			// Most rows of the list change in ways that do not matter to others. What changed
			// before the whole list was read is not known.
			status.Newest = max(st.maxChangeVersion, status.Snapshot)
		}
		statuses[table] = tableStatus{Newest: status.Newest, AgeMS: status.Age.Milliseconds() + 1}
	}
	return statuses
}

// observeTables compares the copies of tables with those of the sender of a message.
func (g *Gateway) observeTables(message peerMessage) {
	g.state.mu.Lock()
	plan := g.state.plan
	g.state.mu.Unlock()
	now := g.cfg.LeaseNow()
	// Relays state what the store has told them, and only members may rely on what relays
	// have heard. That was so when the message was sent, at the earliest.
	confirms := message.Kind == kindGroup || slices.Contains(plan.Relays, message.ID)
	if message.Kind == kindOthers {
		sentAfter, dated := message.Echo.sentAfter(now, g.boot)
		if confirms = dated && !plan.IsRelay; confirms {
			now = sentAfter
		}
	}
	for table, f := range g.sharedFollowers() {
		status, sent := message.Tables[table]
		if !sent || table == upstreamTable && !plan.IsRelay {
			continue
		}
		decoded := status.decode()
		// In groups with members the list is confirmed by the relay that reads it, in
		// messages whose time is known.
		if !confirms || table == upstreamTable && len(plan.Relays) > 0 {
			decoded.Age = unconfirmedAge
		}
		f.Observe(now, message.ID, decoded)
	}
}
