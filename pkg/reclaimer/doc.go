// Package reclaimer plans the migration of streams from an upstream whose VM is
// being reclaimed.
//
// A stream that can finish in the remaining time finishes in place. Of the
// others, a stream whose KV cache can be transferred in time moves with its
// cache; the rest resume on another upstream, which recomputes the prompt and the
// tokens already sent, or stay if they may not be recomputed. The streams that leave
// are spread over the remaining time, the most urgent first, so that they don't
// overload the other upstreams.
//
//	plan := reclaimer.Plan(streams, remaining, reclaimer.Costs{...})
package reclaimer
