package gateway

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/galenahitch/galenahitch/internal/keeper"
	"github.com/galenahitch/galenahitch/pkg/accountant"
)

const (
	// gossipInterval is the time between two messages to each other entry. It
	// bounds how much of a quota can be spent twice.
	gossipInterval = 200 * time.Millisecond
	// rosterRefresh is how often an entry writes its row again, rosterPause how
	// often it reads the others', and rosterSilence how long the row of an entry
	// that nobody hears may stand unchanged.
	rosterRefresh = 10 * time.Second
	rosterPause   = 5 * time.Second
	rosterSilence = 25 * time.Second
	// clockSlack is how far clocks may differ without being corrected: it is more
	// than the way of a message takes.
	clockSlack = 100 * time.Millisecond
	// rosterRetry is the wait after a row could not be written.
	rosterRetry = 500 * time.Millisecond
)

// news is what an entry tells the others. Counts only grow while its process
// lives.
type news struct {
	ID       string                                  `cbor:"1,keyasint"`
	Boot     uint64                                  `cbor:"2,keyasint"`
	Address  string                                  `cbor:"3,keyasint"`
	Stopping bool                                    `cbor:"4,keyasint,omitempty"`
	Spent    map[string]float64                      `cbor:"5,keyasint,omitempty"`
	Usage    map[accountant.Window]accountant.Counts `cbor:"6,keyasint,omitempty"`
	Load     map[string]float64                      `cbor:"7,keyasint,omitempty"`
	Demand   map[string]demand                       `cbor:"8,keyasint,omitempty"`
	Domain   string                                  `cbor:"10,keyasint,omitempty"`
	ClockMS  int64                                   `cbor:"11,keyasint"`
	Duty     bool                                    `cbor:"9,keyasint,omitempty"`
}

// peer is another entry.
type peer struct {
	boot    uint64
	address string
	heardAt time.Time
	rowAt   time.Time
	load    map[string]float64
	demand  map[string]demand
	duty    bool
	domain  string
	// ahead is how far the entry's time of day is ahead of this one's.
	ahead time.Duration
}

// place is an entry's row in the table of entries.
type place struct {
	Address string `json:"address"`
	Boot    uint64 `json:"boot"`
	// Sequence makes each write a change.
	Sequence int `json:"sequence"`
	// Usage is for the entries that can't hear this one.
	Usage map[accountant.Window]accountant.Counts `json:"usage,omitempty"`
}

// processName names one start of an entry's process.
func processName(id string, boot uint64) string { return id + "/" + strconv.FormatUint(boot, 36) }

// trueTime returns the time of day that most entries agree on: the median of
// those in reach, so that a clock that was set wrong does no harm. The lock must
// be held.
func (b *beliefs) trueTime(now time.Time) time.Time {
	ahead := []time.Duration{0}
	for _, p := range b.peers {
		if now.Sub(p.heardAt) <= peerReach {
			ahead = append(ahead, p.ahead)
		}
	}
	slices.Sort(ahead)
	middle := ahead[len(ahead)/2]
	if len(ahead)%2 == 0 && middle.Abs() > ahead[len(ahead)/2-1].Abs() {
		middle = ahead[len(ahead)/2-1]
	}
	if middle.Abs() < clockSlack {
		return now
	}
	return now.Add(middle)
}

// members counts the entries that may be serving, this one included. The lock
// must be held.
func (b *beliefs) members() int { return 1 + len(b.peers) }

// tell returns this entry's news.
func (g *Gateway) tell(now time.Time) news {
	b := g.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.Detour(b.detours(now))
	n := news{
		ID: g.cfg.ID, Boot: g.boot, Address: g.cfg.PeerListen, Stopping: g.stopping.Load(), ClockMS: now.UnixMilli(), Domain: g.cfg.FailureDomain,
		Spent: b.quoter.Spent(), Load: b.router.Load(), Demand: b.ownDemand(now), Duty: g.holdsDuty(now),
	}
	if g.cfg.UsageWindow > 0 {
		n.Usage = b.accountant.Own(b.accountant.At(b.trueTime(now)) - 2)
	}
	return n
}

// hear takes another entry's news.
func (g *Gateway) hear(now time.Time, _ netip.AddrPort, n news) {
	if n.ID == g.cfg.ID || n.ID == "" {
		return
	}
	b := g.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	p, known := b.peers[n.ID]
	if known && p.boot > n.Boot && now.Sub(p.heardAt) <= peerReach {
		return
	}
	if n.Stopping {
		b.accountant.Merge(processName(n.ID, n.Boot), n.Usage)
		b.quoter.Hear(now, n.ID, n.Boot, n.Spent)
		b.replaceLoad(now, p, n.Load)
		return
	}
	if !known {
		p = &peer{rowAt: now}
		b.peers[n.ID] = p
		b.resize()
		g.cfg.Log.Info().Str("event", "peer_found").Str("peer", n.ID).Str("address", n.Address).Int("members", b.members()).Send()
	} else if !p.heardAt.IsZero() && now.Sub(p.heardAt) > peerReach {
		g.cfg.Log.Info().Str("event", "peer_back").Str("peer", n.ID).Dur("silent", now.Sub(p.heardAt)).Send()
	}
	moved := p.address != n.Address
	p.boot, p.address, p.domain, p.heardAt, p.duty, p.demand = n.Boot, n.Address, n.Domain, now, n.Duty, n.Demand
	p.ahead = time.Duration(n.ClockMS-now.UnixMilli()) * time.Millisecond
	b.accountant.Merge(processName(n.ID, n.Boot), n.Usage)
	b.quoter.Hear(now, n.ID, n.Boot, n.Spent)
	b.replaceLoad(now, p, n.Load)
	if moved {
		g.gossip.Peers(b.peerAddresses())
	}
}

// replaceLoad puts a peer's newest load in place of what it told before.
func (b *beliefs) replaceLoad(now time.Time, p *peer, load map[string]float64) {
	if p == nil {
		return
	}
	for id, was := range p.load {
		b.elsewhere[id] -= was
	}
	p.load = load
	for id, is := range load {
		b.elsewhere[id] += is
	}
	for id := range b.upstreams {
		upstream := b.upstreams[id].ID
		b.router.Elsewhere(now, upstream, max(0, b.elsewhere[upstream]))
	}
}

// resize fits what is shared between entries to their number.
func (b *beliefs) resize() {
	b.quoter.Members(b.members())
	if r := b.resolver.Load(); r != nil {
		b.fitBudgets(r)
	}
}

func (b *beliefs) peerAddresses() []string {
	addresses := make([]string, 0, len(b.peers))
	for _, p := range b.peers {
		addresses = append(addresses, p.address)
	}
	return addresses
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

const (
	// silentDetour is the cost, in shares of an upstream's slots, of the way to
	// a failure domain none of whose entries is heard; cutDetour that of one where
	// connections fail too.
	silentDetour = 0.5
	cutDetour    = 4
	// failureMemory is how long a failed connection to a domain counts.
	failureMemory = 3 * time.Second
)

// detours returns the failure domains that seem to be cut off from this entry
// with what the way to their upstreams costs. The lock must be held.
func (b *beliefs) detours(now time.Time) map[string]float64 {
	heard := map[string]bool{}
	for _, p := range b.peers {
		if p.domain != "" && p.domain != b.cfg.FailureDomain {
			heard[p.domain] = heard[p.domain] || now.Sub(p.heardAt) <= peerReach
		}
	}
	costs := map[string]float64{}
	clear(b.cut)
	for domain, reached := range heard {
		switch {
		case reached:
		case now.Sub(b.failedAt[domain]) < failureMemory:
			costs[domain] = cutDetour
			b.cut[domain] = true
		default:
			costs[domain] = silentDetour
		}
	}
	return costs
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
		if !pause(ctx, g.beliefs.jitter(wait)) {
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
