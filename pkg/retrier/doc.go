// Package retrier decides whether a failed attempt is retried.
//
// Retries are charged to a budget that successful requests refill, so that retries
// add at most a small multiple of the load to a failing deployment. A request that
// may not be repeated is retried only if its last attempt is known not to have
// run. A request that is not retried gets a jittered Retry-After.
//
//	var b retrier.Budget
//	d := retrier.Decide(now, &b, retrier.Failure{Verdict: judge.NotRun, Attempts: 1, Deadline: deadline}, random)
//
// Window is a budget over a sliding time span, for limits that hold for all
// entries together.
package retrier
