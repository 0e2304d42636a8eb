// Package mover decides how traffic moves from one version to the next.
//
// The idea: a move climbs a ladder of shares. Each entry gives the new version
// at most its step's share of the requests, and at most a few at once while
// the version is unproven. A Watch compares the new version with the present
// one at the same time, by route, on failures and on late first tokens, with a
// betting test that stays valid however often it is looked at. A trip takes
// the move back at once where it is seen; taken back is final for that move,
// and wins against any other state of it in every order of messages (Merge).
//
//	share := mover.Share(move, policy)
//	if mover.Draw(requestID, move, share) { /* new version */ }
//	watches.Feed(route, present, next)
//	if reason := watches.Tripped(); reason != "" { move = mover.TakeBack(now, move, "system", reason) }
//	next, event := mover.Advance(now, move, evidence, policy)
//
// All state is in the caller's hands; nothing here reads a clock.
package mover
