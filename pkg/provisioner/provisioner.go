package provisioner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// surplusTolerance is the share above the target that is never given back.
const surplusTolerance = 0.05

// Timing is how fast a Buyer changes its mind. It follows from how fast VMs start
// and how long shortages last.
type Timing struct {
	// MinBackoff and MostBackoff bound the time for which a class in a domain
	// is left out after a refused start.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// ReclaimBackoff is how long a domain's reclaim counts against its class.
	ReclaimBackoff time.Duration
	// ScaleDownDelay is how long more than is needed is kept.
	ScaleDownDelay time.Duration
}

// defaultTiming suits VMs that take minutes to start.
var defaultTiming = Timing{
	MinBackoff: time.Minute, MaxBackoff: 16 * time.Minute, ReclaimBackoff: 10 * time.Minute, ScaleDownDelay: 10 * time.Minute,
}

// Offer is what a class of VMs costs in a failure domain.
type Offer struct {
	FailureDomain string
	Reclaimable   bool
	PricePerHour  float64
}

// Pool is what is held of an offer, VMs that are starting included.
type Pool struct {
	FailureDomain string
	Reclaimable   bool
	VMs           int
}

// Policy bounds the mix.
type Policy struct {
	// MaxReclaimableShare is the largest share of reclaimable VMs.
	MaxReclaimableShare float64
	// Headroom is the share above the demand that is held in any case.
	Headroom float64
	// DomainLosses is the number of domains whose reclaimable VMs may go before others
	// can be started; zero stands for one.
	DomainLosses int
	// MaxPerDomain bounds the VMs of all classes in one domain; zero means no bound.
	MaxPerDomain int
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

type exclusion struct {
	backoff time.Duration
	until   time.Time
}

// Provisioner remembers refusals, reclaims and surpluses. The zero value is useful.
type Provisioner struct {
	// Timing is that of the buyer. The zero value stands for VMs that take minutes
	// to start.
	Timing       Timing
	exclusions   map[class]exclusion
	surplusSince map[class]time.Time
}

// RecordRefusal records that a start was refused.
func (b *Provisioner) RecordRefusal(now time.Time, domain string, reclaimable bool) {
	b.init()
	key := class{domain, reclaimable}
	s := b.exclusions[key]
	if now.Before(s.until) {
		return
	}
	s.backoff = min(b.Timing.MaxBackoff, max(b.Timing.MinBackoff, 2*s.backoff))
	s.until = now.Add(s.backoff)
	b.exclusions[key] = s
}

// RecordStart records that a start went well.
func (b *Provisioner) RecordStart(domain string, reclaimable bool) {
	b.init()
	delete(b.exclusions, class{domain, reclaimable})
}

// RecordReclaim records that VMs of a domain were reclaimed.
func (b *Provisioner) RecordReclaim(now time.Time, domain string) {
	b.init()
	key := class{domain, true}
	s := b.exclusions[key]
	if until := now.Add(b.Timing.ReclaimBackoff); until.After(s.until) {
		s.until = until
	}
	b.exclusions[key] = s
}

func (b *Provisioner) init() {
	if b.exclusions == nil {
		b.exclusions = map[class]exclusion{}
		b.surplusSince = map[class]time.Time{}
	}
	if b.Timing == (Timing{}) {
		b.Timing = defaultTiming
	}
}

func (b *Provisioner) available(now time.Time, o Offer) bool {
	return !now.Before(b.exclusions[class{o.FailureDomain, o.Reclaimable}].until)
}

// Decide returns the orders that bring the holdings to the cheapest mix that
// carries demand VMs after the loss of a domain's reclaimable VMs.
func (b *Provisioner) Decide(now time.Time, demand int, holdings []Pool, offers []Offer, p Policy) []Order {
	b.init()
	var open []Offer
	for _, o := range offers {
		if b.available(now, o) {
			open = append(open, o)
		}
	}
	target := CheapestMix(int(math.Ceil(float64(demand)*(1+p.Headroom))), countByClass(holdings), open, p)
	var orders []Order
	for _, o := range offers {
		key := class{o.FailureDomain, o.Reclaimable}
		change := target[key] - countByClass(holdings)[key]
		if change < 0 {
			change = b.scaleDown(now, key, change, target[key])
		} else {
			delete(b.surplusSince, key)
		}
		if change > 0 && !b.available(now, o) {
			change = 0
		}
		if change != 0 {
			orders = append(orders, Order{FailureDomain: o.FailureDomain, Reclaimable: o.Reclaimable, Change: change})
		}
	}
	return orders
}

// scaleDown returns the change for a surplus: none until it has lasted.
func (b *Provisioner) scaleDown(now time.Time, key class, change, target int) int {
	since, known := b.surplusSince[key]
	if !known {
		b.surplusSince[key] = now
		return 0
	}
	free := int(surplusTolerance * float64(target))
	if now.Sub(since) < b.Timing.ScaleDownDelay || -change <= free {
		return 0
	}
	return change + free
}

func countByClass(holdings []Pool) map[class]int {
	count := map[class]int{}
	for _, h := range holdings {
		count[class{h.FailureDomain, h.Reclaimable}] += h.VMs
	}
	return count
}

// CheapestMix returns the cheapest numbers of VMs that leave needed of them after the
// loss of any one domain's reclaimable VMs. VMs that are held in classes that
// are not on offer now count, but no more of them are wanted.
func CheapestMix(needed int, have map[class]int, offers []Offer, p Policy) map[class]int {
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
	held := unofferedCounts(have, offers)
	best, bestCost := map[class]int{}, math.Inf(1)
	for domains := 0; domains <= len(reclaimable); domains++ {
		for each := 0; each <= needed; each++ {
			if domains == 0 && each > 0 || domains > 0 && each == 0 {
				continue
			}
			total, kept, lost := reclaimLoss(held, domains, each, max(1, p.DomainLosses))
			surviving := total - lost
			rest := max(0, needed-surviving)
			if float64(total) > p.MaxReclaimableShare*float64(total+rest) && total > kept {
				continue
			}
			if rest > 0 && len(lasting) == 0 || p.MaxPerDomain > 0 && exceedsMax(domains > 0, each, rest, len(lasting), p.MaxPerDomain) {
				continue
			}
			mix, cost := priceMix(reclaimable[:domains], each, lasting, rest)
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

// exceedsMax reports whether a domain would hold more VMs than it may, if all of
// them hold as many as the fullest.
func exceedsMax(reclaimable bool, each, rest, lasting, most int) bool {
	fullest := countIf(reclaimable, each)
	if rest > 0 {
		fullest += (rest + lasting - 1) / lasting
	}
	return fullest > most
}

func countIf(b bool, n int) int {
	if b {
		return n
	}
	return 0
}

func offered(key class, offers []Offer) bool {
	return slices.ContainsFunc(offers, func(o Offer) bool { return o.FailureDomain == key.domain && o.Reclaimable == key.reclaimable })
}

// unofferedCounts returns the numbers of reclaimable VMs held in domains that are
// left out, the largest first.
func unofferedCounts(have map[class]int, offers []Offer) []int {
	var held []int
	for key, n := range have {
		if key.reclaimable && !offered(key, offers) {
			held = append(held, n)
		}
	}
	slices.SortFunc(held, func(a, b int) int { return b - a })
	return held
}

// reclaimLoss returns the number of all reclaimable VMs, that of those held in domains
// that are left out, and how many go with the fullest domains.
func reclaimLoss(held []int, domains, each, losses int) (total, kept, lost int) {
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

// priceMix spreads the lasting VMs over their domains and adds up the costs.
func priceMix(reclaimable []Offer, each int, lasting []Offer, rest int) (map[class]int, float64) {
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
