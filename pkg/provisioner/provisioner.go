package provisioner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// surplusTolerance is the surplus that is never released, as a share of the
// target.
const surplusTolerance = 0.05

// Timing sets how fast a Provisioner reacts. Suitable values follow from how fast
// VMs start and how long shortages last.
type Timing struct {
	// MinBackoff and MaxBackoff bound the time for which a class is excluded
	// after a refused start.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// ReclaimBackoff is how long a domain's reclaimable class is excluded after a
	// reclaim.
	ReclaimBackoff time.Duration
	// ScaleDownDelay is how long a surplus is kept.
	ScaleDownDelay time.Duration
}

// defaultTiming suits VMs that take minutes to start.
var defaultTiming = Timing{
	MinBackoff: time.Minute, MaxBackoff: 16 * time.Minute, ReclaimBackoff: 10 * time.Minute, ScaleDownDelay: 10 * time.Minute,
}

// Offer is the price of a class of VMs in a failure domain.
type Offer struct {
	FailureDomain string
	Reclaimable   bool
	PricePerHour  float64
}

// Pool is a number of VMs of one class that are held, including starting ones.
type Pool struct {
	FailureDomain string
	Reclaimable   bool
	VMs           int
}

// Policy bounds the mix.
type Policy struct {
	// MaxReclaimableShare is the largest share of reclaimable VMs, 0 to 1.
	MaxReclaimableShare float64
	// Headroom is the share of the demand that is held in addition to it.
	Headroom float64
	// DomainLosses is the number of domains whose reclaimable VMs may be lost
	// before replacements can be started; zero means one.
	DomainLosses int
	// MaxPerDomain bounds the VMs of all classes in one domain; zero means no
	// bound.
	MaxPerDomain int
}

// Order starts VMs of a class, or releases them if Change is negative.
type Order struct {
	FailureDomain string
	Reclaimable   bool
	Change        int
}

type class struct {
	domain      string
	reclaimable bool
}

// exclusion is the time until which a class is excluded, and the backoff of its
// last refusal.
type exclusion struct {
	backoff time.Duration
	until   time.Time
}

// Provisioner keeps refusals, reclaims and surpluses between decisions. The zero
// value is ready to use.
type Provisioner struct {
	// Timing may be left zero for VMs that take minutes to start.
	Timing       Timing
	exclusions   map[class]exclusion
	surplusSince map[class]time.Time
}

// RecordRefusal records that a start was refused. Further refusals while the
// class is excluded do not lengthen the backoff.
func (p *Provisioner) RecordRefusal(now time.Time, domain string, reclaimable bool) {
	p.init()
	key := class{domain, reclaimable}
	excluded := p.exclusions[key]
	if now.Before(excluded.until) {
		return
	}
	excluded.backoff = min(p.Timing.MaxBackoff, max(p.Timing.MinBackoff, 2*excluded.backoff))
	excluded.until = now.Add(excluded.backoff)
	p.exclusions[key] = excluded
}

// RecordStart records that a start succeeded.
func (p *Provisioner) RecordStart(domain string, reclaimable bool) {
	p.init()
	delete(p.exclusions, class{domain, reclaimable})
}

// RecordReclaim records that VMs of a domain were reclaimed.
func (p *Provisioner) RecordReclaim(now time.Time, domain string) {
	p.init()
	key := class{domain, true}
	excluded := p.exclusions[key]
	if until := now.Add(p.Timing.ReclaimBackoff); until.After(excluded.until) {
		excluded.until = until
	}
	p.exclusions[key] = excluded
}

func (p *Provisioner) init() {
	if p.exclusions == nil {
		p.exclusions = map[class]exclusion{}
		p.surplusSince = map[class]time.Time{}
	}
	if p.Timing == (Timing{}) {
		p.Timing = defaultTiming
	}
}

func (p *Provisioner) available(now time.Time, o Offer) bool {
	return !now.Before(p.exclusions[class{o.FailureDomain, o.Reclaimable}].until)
}

// Decide returns the orders that change the pools to the cheapest mix that covers
// demand, a number of VMs, after the loss of a domain's reclaimable VMs.
func (p *Provisioner) Decide(now time.Time, demand int, pools []Pool, offers []Offer, policy Policy) []Order {
	p.init()
	var available []Offer
	for _, o := range offers {
		if p.available(now, o) {
			available = append(available, o)
		}
	}
	held := countByClass(pools)
	target := CheapestMix(int(math.Ceil(float64(demand)*(1+policy.Headroom))), held, available, policy)
	var orders []Order
	for _, o := range offers {
		key := class{o.FailureDomain, o.Reclaimable}
		change := target[key] - held[key]
		if change < 0 {
			change = p.scaleDown(now, key, change, target[key])
		} else {
			delete(p.surplusSince, key)
		}
		if change > 0 {
			// A surplus of the domain's other class is still held.
			change = min(change, room(held, o.FailureDomain, nil, offers, policy.MaxPerDomain))
		}
		if change > 0 && !p.available(now, o) {
			change = 0
		}
		if change != 0 {
			orders = append(orders, Order{FailureDomain: o.FailureDomain, Reclaimable: o.Reclaimable, Change: change})
		}
		held[key] += max(0, change)
	}
	return orders
}

// scaleDown returns the change for a surplus: zero until the surplus has lasted
// for ScaleDownDelay, then all of it but the tolerated part.
func (p *Provisioner) scaleDown(now time.Time, key class, change, target int) int {
	since, known := p.surplusSince[key]
	if !known {
		p.surplusSince[key] = now
		return 0
	}
	tolerated := int(surplusTolerance * float64(target))
	if now.Sub(since) < p.Timing.ScaleDownDelay || -change <= tolerated {
		return 0
	}
	return change + tolerated
}

func countByClass(pools []Pool) map[class]int {
	count := map[class]int{}
	for _, pool := range pools {
		count[class{pool.FailureDomain, pool.Reclaimable}] += pool.VMs
	}
	return count
}

// CheapestMix returns the cheapest mix that has needed VMs left after any
// DomainLosses domains have lost their reclaimable VMs. If no mix has, it returns the
// cheapest one of those with the most VMs left, up to needed, and of these the ones with the
// most VMs in all. VMs that are held in classes without an offer count towards needed; they
// are kept, but no more are ordered.
func CheapestMix(needed int, held map[class]int, offers []Offer, p Policy) map[class]int {
	reclaimable, onDemand := byPrice(offers)
	unoffered := unofferedCounts(held, offers)
	keptOnDemand := unofferedOnDemand(held, offers)
	best, bestMix := outcome{}, map[class]int(nil)
	for domains := 0; domains <= len(reclaimable); domains++ {
		for perDomain := countIf(domains > 0, 1); perDomain <= countIf(domains > 0, needed); perDomain++ {
			total, kept, lost := reclaimLoss(unoffered, domains, perDomain, max(1, p.DomainLosses))
			surviving := total - lost + keptOnDemand
			mix, fits := reclaimableMix(reclaimable[:domains], perDomain, held, offers, p.MaxPerDomain)
			if !fits {
				break
			}
			rest := fillOnDemand(mix, onDemand, max(0, needed-surviving), held, offers, p.MaxPerDomain)
			if float64(total) > p.MaxReclaimableShare*float64(total+rest+keptOnDemand) && total > kept {
				continue
			}
			o := outcome{left: min(needed, surviving+rest), total: min(needed, total+rest+keptOnDemand), cost: priceOf(mix, offers)}
			if bestMix == nil || o.betterThan(best) {
				best, bestMix = o, mix
			}
		}
	}
	for key, n := range held {
		if _, wanted := bestMix[key]; !wanted && !offered(key, offers) {
			bestMix[key] = n
		}
	}
	return bestMix
}

// outcome is what a mix achieves, as far as it is needed: the VMs that are left after the
// planned losses, all VMs, and the price per hour.
type outcome struct {
	left, total int
	cost        float64
}

func (o outcome) betterThan(other outcome) bool {
	switch {
	case o.left != other.left:
		return o.left > other.left
	case o.total != other.total:
		return o.total > other.total
	default:
		return o.cost < other.cost
	}
}

// byPrice returns the offers of reclaimable and of on-demand VMs, the cheapest first.
func byPrice(offers []Offer) (reclaimable, onDemand []Offer) {
	for _, o := range offers {
		if o.Reclaimable {
			reclaimable = append(reclaimable, o)
		} else {
			onDemand = append(onDemand, o)
		}
	}
	compare := func(a, b Offer) int { return cmp.Compare(a.PricePerHour, b.PricePerHour) }
	slices.SortStableFunc(reclaimable, compare)
	slices.SortStableFunc(onDemand, compare)
	return reclaimable, onDemand
}

// reclaimableMix returns a mix of perDomain reclaimable VMs in the domain of each offer. It
// returns false if one of the domains has no room for them.
func reclaimableMix(reclaimable []Offer, perDomain int, held map[class]int, offers []Offer, maxVMs int) (map[class]int, bool) {
	mix := map[class]int{}
	for _, o := range reclaimable {
		if perDomain > room(mix, o.FailureDomain, held, offers, maxVMs) {
			return nil, false
		}
		mix[class{o.FailureDomain, true}] = perDomain
	}
	return mix, true
}

// fillOnDemand adds up to rest on-demand VMs to a mix, spread evenly over the domains that
// have room for them, and returns how many it added.
func fillOnDemand(mix map[class]int, onDemand []Offer, rest int, held map[class]int, offers []Offer, maxVMs int) int {
	left := rest
	open := slices.Clone(onDemand)
	for left > 0 && len(open) > 0 {
		share, extra := left/len(open), left%len(open)
		for i, o := range open {
			n := min(share+countIf(i < extra, 1), room(mix, o.FailureDomain, held, offers, maxVMs))
			if n > 0 {
				mix[class{o.FailureDomain, false}] += n
				left -= n
			}
		}
		open = slices.DeleteFunc(open, func(o Offer) bool { return room(mix, o.FailureDomain, held, offers, maxVMs) <= 0 })
	}
	return rest - left
}

// room returns how many more VMs a mix may have in a domain beside those held there in
// classes without an offer.
func room(mix map[class]int, domain string, held map[class]int, offers []Offer, maxVMs int) int {
	if maxVMs <= 0 {
		return math.MaxInt
	}
	left := maxVMs
	for _, reclaimable := range []bool{false, true} {
		key := class{domain, reclaimable}
		left -= mix[key]
		if !offered(key, offers) {
			left -= held[key]
		}
	}
	return max(0, left)
}

func priceOf(mix map[class]int, offers []Offer) float64 {
	cost := 0.0
	for _, o := range offers {
		cost += float64(mix[class{o.FailureDomain, o.Reclaimable}]) * o.PricePerHour
	}
	return cost
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

// unofferedCounts returns the numbers of reclaimable VMs held in domains without
// an offer, the largest first.
func unofferedCounts(held map[class]int, offers []Offer) []int {
	var counts []int
	for key, n := range held {
		if key.reclaimable && !offered(key, offers) {
			counts = append(counts, n)
		}
	}
	slices.SortFunc(counts, func(a, b int) int { return b - a })
	return counts
}

// unofferedOnDemand returns the number of on-demand VMs held in domains without an offer.
func unofferedOnDemand(held map[class]int, offers []Offer) int {
	count := 0
	for key, n := range held {
		if !key.reclaimable && !offered(key, offers) {
			count += n
		}
	}
	return count
}

// reclaimLoss returns the total number of reclaimable VMs, the number kept in
// domains without an offer, and the number lost if the given number of domains,
// those with the most reclaimable VMs, lose theirs.
func reclaimLoss(unoffered []int, domains, perDomain, losses int) (total, kept, lost int) {
	total = domains * perDomain
	full := domains
	for _, n := range unoffered {
		total += n
		kept += n
	}
	for range losses {
		switch {
		case full > 0 && (len(unoffered) == 0 || perDomain >= unoffered[0]):
			lost += perDomain
			full--
		case len(unoffered) > 0:
			lost += unoffered[0]
			unoffered = unoffered[1:]
		}
	}
	return total, kept, lost
}
