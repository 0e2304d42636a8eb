package provisioner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// freeSurplus is the share above the target that is never given back.
const freeSurplus = 0.05

// Pace is how fast a Buyer changes its mind. It follows from how fast VMs start
// and how long shortages last.
type Pace struct {
	// LeastBackoff and MostBackoff bound the time for which a class in a domain
	// is left out after a refused start.
	LeastBackoff time.Duration
	MostBackoff  time.Duration
	// ReclaimMemory is how long a domain's reclaim counts against its class.
	ReclaimMemory time.Duration
	// KeepSurplus is how long more than is needed is kept.
	KeepSurplus time.Duration
}

// defaultPace suits VMs that take minutes to start.
var defaultPace = Pace{
	LeastBackoff: time.Minute, MostBackoff: 16 * time.Minute, ReclaimMemory: 10 * time.Minute, KeepSurplus: 10 * time.Minute,
}

// Offer is what a class of VMs costs in a failure domain.
type Offer struct {
	FailureDomain string
	Reclaimable   bool
	PricePerHour  float64
}

// Holding is what is held of an offer, VMs that are starting included.
type Holding struct {
	FailureDomain string
	Reclaimable   bool
	VMs           int
}

// Policy bounds the mix.
type Policy struct {
	// ReclaimableShare is the largest share of reclaimable VMs.
	ReclaimableShare float64
	// Slack is the share above the demand that is held in any case.
	Slack float64
	// Losses is the number of domains whose reclaimable VMs may go before others
	// can be started; zero stands for one.
	Losses int
	// Most bounds the VMs of all classes in one domain; zero means no bound.
	Most int
}

// Order changes what is held of an offer. Change is negative to give back.
type Order struct {
	FailureDomain string
	Reclaimable   bool
	Change        int
}

type class struct {
	domain      string
	reclaimable bool
}

type standing struct {
	backoff time.Duration
	until   time.Time
}

// Buyer remembers refusals, reclaims and surpluses. The zero value is useful.
type Buyer struct {
	// Pace is that of the buyer. The zero value stands for VMs that take minutes
	// to start.
	Pace      Pace
	standings map[class]standing
	surplus   map[class]time.Time
}

// Refused records that a start was refused.
func (b *Buyer) Refused(now time.Time, domain string, reclaimable bool) {
	b.init()
	key := class{domain, reclaimable}
	s := b.standings[key]
	if now.Before(s.until) {
		return
	}
	s.backoff = min(b.Pace.MostBackoff, max(b.Pace.LeastBackoff, 2*s.backoff))
	s.until = now.Add(s.backoff)
	b.standings[key] = s
}

// Started records that a start went well.
func (b *Buyer) Started(domain string, reclaimable bool) {
	b.init()
	delete(b.standings, class{domain, reclaimable})
}

// Reclaimed records that VMs of a domain were reclaimed.
func (b *Buyer) Reclaimed(now time.Time, domain string) {
	b.init()
	key := class{domain, true}
	s := b.standings[key]
	if until := now.Add(b.Pace.ReclaimMemory); until.After(s.until) {
		s.until = until
	}
	b.standings[key] = s
}

func (b *Buyer) init() {
	if b.standings == nil {
		b.standings = map[class]standing{}
		b.surplus = map[class]time.Time{}
	}
	if b.Pace == (Pace{}) {
		b.Pace = defaultPace
	}
}

func (b *Buyer) open(now time.Time, o Offer) bool {
	return !now.Before(b.standings[class{o.FailureDomain, o.Reclaimable}].until)
}

// Decide returns the orders that bring the holdings to the cheapest mix that
// carries demand VMs after the loss of a domain's reclaimable VMs.
func (b *Buyer) Decide(now time.Time, demand int, holdings []Holding, offers []Offer, p Policy) []Order {
	b.init()
	var open []Offer
	for _, o := range offers {
		if b.open(now, o) {
			open = append(open, o)
		}
	}
	target := Mix(int(math.Ceil(float64(demand)*(1+p.Slack))), held(holdings), open, p)
	var orders []Order
	for _, o := range offers {
		key := class{o.FailureDomain, o.Reclaimable}
		change := target[key] - held(holdings)[key]
		if change < 0 {
			change = b.giveBack(now, key, change, target[key])
		} else {
			delete(b.surplus, key)
		}
		if change > 0 && !b.open(now, o) {
			change = 0
		}
		if change != 0 {
			orders = append(orders, Order{FailureDomain: o.FailureDomain, Reclaimable: o.Reclaimable, Change: change})
		}
	}
	return orders
}

// giveBack returns the change for a surplus: none until it has lasted.
func (b *Buyer) giveBack(now time.Time, key class, change, target int) int {
	since, known := b.surplus[key]
	if !known {
		b.surplus[key] = now
		return 0
	}
	free := int(freeSurplus * float64(target))
	if now.Sub(since) < b.Pace.KeepSurplus || -change <= free {
		return 0
	}
	return change + free
}

func held(holdings []Holding) map[class]int {
	count := map[class]int{}
	for _, h := range holdings {
		count[class{h.FailureDomain, h.Reclaimable}] += h.VMs
	}
	return count
}

// Mix returns the cheapest numbers of VMs that leave needed of them after the
// loss of any one domain's reclaimable VMs. VMs that are held in classes that
// are not on offer now count, but no more of them are wanted.
func Mix(needed int, have map[class]int, offers []Offer, p Policy) map[class]int {
	var reclaimable, lasting []Offer
	for _, o := range offers {
		if o.Reclaimable {
			reclaimable = append(reclaimable, o)
		} else {
			lasting = append(lasting, o)
		}
	}
	byPrice := func(a, b Offer) int { return cmp.Compare(a.PricePerHour, b.PricePerHour) }
	slices.SortStableFunc(reclaimable, byPrice)
	slices.SortStableFunc(lasting, byPrice)
	held := notOffered(have, offers)
	best, bestCost := map[class]int{}, math.Inf(1)
	for domains := 0; domains <= len(reclaimable); domains++ {
		for each := 0; each <= needed; each++ {
			if domains == 0 && each > 0 || domains > 0 && each == 0 {
				continue
			}
			total, kept, lost := loss(held, domains, each, max(1, p.Losses))
			surviving := total - lost
			rest := max(0, needed-surviving)
			if float64(total) > p.ReclaimableShare*float64(total+rest) && total > kept {
				continue
			}
			if rest > 0 && len(lasting) == 0 || p.Most > 0 && overfull(domains > 0, each, rest, len(lasting), p.Most) {
				continue
			}
			mix, cost := price(reclaimable[:domains], each, lasting, rest)
			if cost < bestCost {
				best, bestCost = mix, cost
			}
		}
	}
	for key, n := range have {
		if _, wanted := best[key]; !wanted && !offered(key, offers) {
			best[key] = n
		}
	}
	return best
}

// overfull reports whether a domain would hold more VMs than it may, if all of
// them hold as many as the fullest.
func overfull(reclaimable bool, each, rest, lasting, most int) bool {
	fullest := boolTimes(reclaimable, each)
	if rest > 0 {
		fullest += (rest + lasting - 1) / lasting
	}
	return fullest > most
}

func boolTimes(b bool, n int) int {
	if b {
		return n
	}
	return 0
}

func offered(key class, offers []Offer) bool {
	return slices.ContainsFunc(offers, func(o Offer) bool { return o.FailureDomain == key.domain && o.Reclaimable == key.reclaimable })
}

// notOffered returns the numbers of reclaimable VMs held in domains that are
// left out, the largest first.
func notOffered(have map[class]int, offers []Offer) []int {
	var held []int
	for key, n := range have {
		if key.reclaimable && !offered(key, offers) {
			held = append(held, n)
		}
	}
	slices.SortFunc(held, func(a, b int) int { return b - a })
	return held
}

// loss returns the number of all reclaimable VMs, that of those held in domains
// that are left out, and how many go with the fullest domains.
func loss(held []int, domains, each, losses int) (total, kept, lost int) {
	total = domains * each
	full := domains
	for _, n := range held {
		total += n
		kept += n
	}
	for range losses {
		switch {
		case full > 0 && (len(held) == 0 || each >= held[0]):
			lost += each
			full--
		case len(held) > 0:
			lost += held[0]
			held = held[1:]
		}
	}
	return total, kept, lost
}

// price spreads the lasting VMs over their domains and adds up the costs.
func price(reclaimable []Offer, each int, lasting []Offer, rest int) (map[class]int, float64) {
	mix, cost := map[class]int{}, 0.0
	for _, o := range reclaimable {
		mix[class{o.FailureDomain, true}] = each
		cost += float64(each) * o.PricePerHour
	}
	for i, o := range lasting {
		n := rest / len(lasting)
		if i < rest%len(lasting) {
			n++
		}
		if n > 0 {
			mix[class{o.FailureDomain, false}] = n
			cost += float64(n) * o.PricePerHour
		}
	}
	return mix, cost
}
