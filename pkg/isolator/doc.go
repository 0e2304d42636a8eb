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
// A part of a prompt that requests share may be what crashes upstreams, while no two of
// these requests are alike. Crashes are attributed to the parts of the requests in flight as
// well. A survival, that is an answer that has gone on after it began, clears the parts of
// its prompt of all crashes before that. A part is a suspect from two successive crashes
// under different requests on, and is confirmed if all of the following hold:
//
//   - Chance does not explain its crashes, by the rate of all crashes and the upstreams that
//     still run; or nothing else has crashed.
//   - No other part explains them as well or better, and no confirmed one explains them.
//   - Enough other requests have survived meanwhile. If little survives, the crashes do not
//     distinguish the part.
//   - Survivals at other entries have had settleTime to arrive.
//
// Entries merge records by set union, so all of them get the same result in any
// order of messages. Of survivals they tell one another the latest of each part.
//
//	var i isolator.Isolator
//	i.RecordCrash(now, "vm-7", []isolator.Attempt{{Fingerprint: f, Start: start, End: now, DeploymentSize: 18}})
//	i.Status(now, f) // isolator.Suspect
package isolator
