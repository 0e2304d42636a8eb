// Package router chooses the upstream of each attempt.
//
// The idea: an entry's own in-flight counts are fresh, the load that upstreams
// report is late, and cache events are later still. So the score of an
// upstream mixes the own counts, taken to be every entry's, with the last
// report, corrected by what has changed here since. Requests that share a
// prompt prefix go to the same upstream, by rendezvous hashing, while it looks
// to have slots to spare; all others go to the lowest score.
//
//	var r router.Router
//	r.Replace(now, upstreams)
//	u, ok := r.Pick(now, router.Ask{Deployment: "size-advice", Version: "v1"})
//	r.Begin(u.ID)
//	defer r.End(u.ID)
//
// An upstream with a notice is leaving for good: no later list makes it live
// again, since VMs' ids are never used twice. Router is not safe for
// concurrent use; its owner locks it.
package router
