// Package judge defines verdicts: whether a request did not run, may have run or
// ran at an upstream. Errors and refusals carry one. Refusal is the JSON body of
// responses that do not come from an upstream.
//
//	err := judge.Errorf(judge.NotRun, "dial %s: refused", address)
//	judge.VerdictOf(err) // judge.NotRun
//
// An error without a verdict counts as MayHaveRun, so a missing verdict never
// asserts that the request did not run.
package judge
