// Package isolator finds the request that crashes each upstream that runs it.
//
// The idea: when an upstream dies without notice, the requests in flight on it
// are implicated. One that stands alone in the intersection of two or more
// deaths is convicted once the implications of other entries have had time to
// arrive, and at its fourth death without that wait. No request is convicted of
// deaths that another one was in as well. Until then the implicated are
// suspects: their owner keeps them from sharing an upstream, so that the next
// death tells them apart. Implications are merged between entries by set
// union, so that all entries reach the same finding in any order.
//
//	var i isolator.Isolator
//	i.Implicate(now, "vm-7", []isolator.Fingerprint{f, g})
//	i.Standing(now, f) // isolator.Suspect
package isolator
