// Package reclaimer plans what becomes of the streams on an upstream that is
// being reclaimed.
//
// The idea: a stream that can finish in the time left finishes in place; of
// the others, one whose KV cache can be moved in time moves with it, and the
// rest resume elsewhere from the tokens already sent, which the new upstream
// computes again. The streams that must leave are spread over the time left,
// the urgent ones first, so that survivors are not overrun.
//
//	plan := reclaimer.Plan(streams, left, reclaimer.Costs{...})
package reclaimer
