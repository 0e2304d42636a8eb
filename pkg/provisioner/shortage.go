package provisioner

import (
	"slices"
	"time"
)

// Shortage says why no more VMs can be ordered.
type Shortage string

// The shortages.
const (
	// ShortageNone means that VMs can be ordered.
	ShortageNone Shortage = ""
	// ShortageNoOffer means that the cloud offers no VMs at all.
	ShortageNoOffer Shortage = "no_offer"
	// ShortageRefused means that orders of a class were refused a short time ago, or its
	// VMs reclaimed.
	ShortageRefused Shortage = "refused"
	// ShortageMaximum means that each domain holds as many VMs as it may.
	ShortageMaximum Shortage = "max_per_domain"
)

// Shortage returns why a fleet that holds pools gets no further VMs.
func (p *Provisioner) Shortage(now time.Time, pools []Pool, offers []Offer, policy Policy) Shortage {
	p.init()
	held := countByClass(pools)
	isFull := func(o Offer) bool { return room(held, o.FailureDomain, nil, offers, policy.MaxPerDomain) == 0 }
	switch {
	case len(offers) == 0:
		return ShortageNoOffer
	case !slices.ContainsFunc(offers, func(o Offer) bool { return !isFull(o) }):
		return ShortageMaximum
	case slices.ContainsFunc(offers, func(o Offer) bool { return !p.available(now, o) }):
		return ShortageRefused
	default:
		return ShortageNone
	}
}
