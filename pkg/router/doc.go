// Package router chooses the upstream of each attempt.
//
// The idea: an entry's own in-flight counts are fresh, the load that upstreams
// report is late, and cache events are later still. So the score of an
// upstream is what others had running there at its last report plus what this
// entry has there now; requests that share a prompt prefix go to the same
// upstream, by rendezvous hashing, as long as that one is not loaded above
// its bound; all others go to the better of two random choices.
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
