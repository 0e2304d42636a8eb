// Package provisioner decides how many VMs of which class to hold in each failure
// domain. A class is the reclaimable or the on-demand VMs of a domain.
//
// Of all mixes that still cover the demand after the loss of one domain's
// reclaimable VMs, the cheapest is chosen. A class is excluded for a while after
// its VMs were reclaimed or a start was refused; the backoff doubles with each
// refusal. Surplus VMs are kept for a while before they are released, so that a
// short drop of the demand does not cost a new start.
//
//	var p provisioner.Provisioner
//	orders := p.Decide(now, demand, pools, offers, policy)
//	p.RecordRefusal(now, "occ-a", true)
package provisioner
