// Package quoter holds organisations to quotas that count over all entries.
//
// The idea: every entry keeps a token bucket of the whole quota for each
// organisation. It takes its own admissions from it at once and those of the
// other entries when it hears of them, which may drive the bucket below zero;
// what was admitted too much in between is thus paid back. Nothing within the
// quota is refused while entries hear each other, wherever the callers are.
//
// An entry that does not hear some of the others fills its bucket only with the
// share of those that it hears, itself included. So two groups that are cut off
// from each other stay within the quota together.
//
//	q := quoter.New(quoter.Config{Reach: time.Second})
//	q.Members(6)
//	q.Heard(now, 6)
//	q.Take(map[string]float64{"luna": 600})
//	ok, wait := q.Spend(now, "luna", quoter.Limit{Rate: 1000, Burst: 1000}, 120)
package throttler
