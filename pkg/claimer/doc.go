// Package claimer decides who may run a request that must run at most once.
//
// The platform's table holds one row for each organisation and idempotency key. An
// entry inserts the row before it sends the request to an upstream. The row names
// the upstream and the attempt, and later holds the outcome. An entry that finds
// another entry's row does not dispatch the request: Decide returns what it does
// instead. The request may run again only if the writer of the row recorded that
// nothing ran; the row is then replaced.
//
//	claim := claimer.Claim{Token: token, Digest: digest, ...}
//	// conditional insert at claimer.Key(organisation, key); if a row exists:
//	switch claimer.Decide(existing, digest) { ... }
package claimer
