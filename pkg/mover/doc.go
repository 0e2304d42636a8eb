// Package mover decides which share of a deployment's requests a new version
// gets during a rollout, and when the rollout ends or is rolled back.
//
// A Move goes through steps of rising traffic shares. Each entry gives the new
// version at most the share of the current step and, until the last step, a bounded
// number of requests in flight. A Comparison compares the new version with the
// current one over the same period, by failures and by late first tokens, with a
// betting test (test martingale) that stays valid however often it is read.
// Comparisons holds one Comparison for each route and one for all routes.
// An entry that finds a roll-back reason ends the move at once. RolledBack is
// final: Merge prefers it to any other state of the same move, in any order of
// messages.
//
// Schedule is the alternative for moves that must finish within a fixed time.
//
//	share := mover.Share(move, policy)
//	if mover.Selected(requestID, move, share) { /* new version */ }
//	comparisons.Observe(route, currentCounts, newCounts)
//	if reason := comparisons.RollBackReason(); reason != "" { move = mover.RollBack(now, move, "system", reason) }
//	next, event := mover.Advance(now, move, evidence, policy)
//
// The caller keeps all state; the package reads no clock.
package mover
