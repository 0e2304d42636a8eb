// Package throttler enforces organisations' quotas that apply to all entries
// together.
//
// Each entry keeps one token bucket with the whole quota per organisation. Its
// own requests are charged at once, those of other entries when their reports
// arrive. A late report may take the bucket below zero; this debt must refill
// before more is admitted, so what was admitted in excess is compensated. While
// all entries exchange reports, no request within the quota is refused, whichever
// entry it arrives at.
//
// An entry refills its bucket only at the share of reachable entries, itself
// included, in all known ones. Two groups of entries that are cut off from each
// other thus stay within the quota together.
//
//	t := throttler.New(throttler.Config{Start: now, PeerTimeout: time.Second, ReportInterval: 200 * time.Millisecond})
//	t.SetKnownEntries(6)
//	t.SetReachableEntries(now, 6)
//	t.AddRemoteSpending(map[string]float64{"luna": 600})
//	ok, retryAfter := t.Allow(now, "luna", throttler.Limit{Rate: 1000, Burst: 1000}, throttler.Request{Cost: 120})
package throttler
