// Package buyer decides how many VMs of which class to hold in each failure
// domain.
//
// The idea: of all mixes that still carry the demand after the loss of one
// failure domain's reclaimable VMs, take the cheapest. A domain whose VMs were
// reclaimed or whose starts were refused lately is left out for a while, which
// doubles with each refusal; surplus is kept for a while before it is given
// back, so that a short dip does not cost a new start.
//
//	var b buyer.Buyer
//	orders := b.Decide(now, demand, holdings, offers, policy)
//	b.Refused(now, "occ-a", true)
package provisioner
