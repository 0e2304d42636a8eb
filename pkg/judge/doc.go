// Package judge says what is known about the execution of a request.
//
// The idea is one small type, Verdict, that every error and every refusal of
// galenahitch carries: the request did not run, may have run, or ran. Refusal
// is the machine-readable body that callers get with it.
//
//	err := judge.Mark(judge.NotRun, "dial %s: refused", address)
//	judge.Of(err) // judge.NotRun
//
// An error without a verdict counts as MayHaveRun, so that forgetting to mark
// one can never turn into a false promise.
package judge
