// Package claimer decides who may run a request that must not run twice.
//
// The idea: the platform's table holds one row for each organisation and
// idempotency key. The row is inserted before a byte leaves for an upstream,
// names the upstream and attempt that will get it, and later holds the
// outcome. Whoever finds a row that is not its own does not dispatch; Decide
// says what its caller is told. The only way to run again is over a row whose
// own writer recorded that nothing ran.
//
//	claim := claimer.Claim{Token: token, Digest: digest, ...}
//	// conditional insert at claimer.Key(org, key); if another's row stands:
//	switch claimer.Decide(existing, digest) { ... }
package claimer
