// Package retrier decides whether a failed attempt is followed by another.
//
// The idea: retries spend from a budget that successes fill, so that a failing
// deployment gets at most a small multiple of its load in retries; a request
// that may not be repeated gets another attempt only if the last one is known
// not to have run. Whatever is given up on is told when to come back, with
// jitter.
//
//	var b retrier.Budget
//	d := retrier.Decide(now, &b, retrier.Failure{Verdict: judge.NotRun, Attempts: 1, Deadline: deadline})
package retrier
