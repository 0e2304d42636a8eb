// Package isolator finds poison requests: requests that crash each upstream that
// runs them.
//
// When an upstream crashes without notice, each request in flight on it gets a
// crash record. A request with a record is a suspect: its entry keeps it apart from
// other suspects, so that the next crash separates them. It is confirmed as poison
// if all of the following hold:
//
//   - It crashed at least minCrashes upstreams one after another: each attempt began after
//     the crash before it. The crash of many upstreams at one moment counts once.
//   - It has not completed since. A request that completes is no poison, and its
//     records are dropped.
//   - No other request was in flight at all of its crashes. It is pending while
//     another one was in flight at all but the newest, whose records may take
//     propagationTime to arrive from peers.
//   - Chance does not explain the crashes: at the rate at which upstreams crash
//     without the request, the probability that all these attempts but the first met
//     a crash is below maxCoincidence. At least assumedCrashes crashes within
//     rateWindow count for that rate. Or it crashed undisputedCrashes upstreams, and
//     nothing else crashed in that time.
//
// So a crash of many upstreams, or some that crash again and again, confirms no
// request that merely ran there.
//
// Entries merge records by set union, so all of them get the same result in any
// order of messages.
//
//	var i isolator.Isolator
//	i.RecordCrash(now, "vm-7", []isolator.Attempt{{Fingerprint: f, Start: start, End: now, DeploymentSize: 18}})
//	i.Status(now, f) // isolator.Suspect
package isolator
