package gateway

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/galenahitch/galenahitch/pkg/accountant"
)

// gossipInterval is the time between two messages to each other entry. It bounds
// how much of a quota can be spent twice.
const gossipInterval = 200 * time.Millisecond

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
	Duty     bool                                    `cbor:"9,keyasint,omitempty"`
	Domain   string                                  `cbor:"10,keyasint,omitempty"`
	// ClockMS is the entry's time of day in Unix milliseconds.
	ClockMS int64 `cbor:"11,keyasint"`
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

// processName names one start of an entry's process.
func processName(id string, boot uint64) string { return id + "/" + strconv.FormatUint(boot, 36) }

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
