// Package router chooses the upstream of each attempt: a load balancer with
// prefix affinity, outlier penalties and failure domains.
//
// Each upstream has a score, its estimated load as a share of its slots plus
// penalties. This entry's in-flight counts are current, the load that upstreams
// report is late, and cache events are later still. The estimate is therefore
// one of two: this entry's load plus the load that the other entries report;
// or, without such reports, a weighted mean of this entry's in-flight count
// times the number of entries and the upstream's last report, corrected by the
// change of the in-flight count since that report. Requests with the same
// prompt prefix go to the same upstream, by rendezvous hashing, while that
// upstream is below a load bound; all others go to the lowest score.
//
//	var r router.Router
//	r.Replace(now, upstreams)
//	u, ok := r.Pick(now, router.Request{Deployment: "size-advice", Version: "v1"})
//	r.Begin(u.ID)
//	defer r.End(u.ID)
//
// Admission answers whether an upstream may get a request at all. What an upstream says of
// itself in a response is recorded with RecordSignals.
//
// An upstream with a notice stays in state leaving: no later VM list makes it
// live again, since VM ids are never reused. Router is not safe for concurrent
// use; the caller locks it.
package router
