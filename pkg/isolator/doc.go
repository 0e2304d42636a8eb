// Package isolator finds the request that crashes each upstream that runs it.
//
// The idea: when an upstream dies without notice, the requests in flight on it
// are implicated. A request that stands alone in the intersection of two
// deaths is convicted, as is one implicated in a third; those implicated once
// are suspects, which run on an upstream chosen by their own fingerprint so
// that two suspects rarely share one. Implications are merged between entries
// by set union, so that all entries reach the same finding in any order.
//
//	var i isolator.Isolator
//	i.Implicate(now, "vm-7", []isolator.Fingerprint{f, g})
//	i.Standing(now, f) // isolator.Suspect
package isolator
