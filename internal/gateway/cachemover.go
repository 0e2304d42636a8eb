package gateway

import "context"

// CacheOutcome is the outcome of a call that copies a KV cache.
type CacheOutcome string

// The outcomes: the copy is complete; there is no such run; another call for the run is in
// progress; the target has no room or can't be reached.
const (
	CacheCopied  CacheOutcome = "copied"
	CacheNoRun   CacheOutcome = "no_run"
	CacheBusy    CacheOutcome = "busy"
	CacheRefused CacheOutcome = "refused"
)

// CacheCopy is a call that copies the KV cache of a running request. With Last the run
// stops first.
type CacheCopy struct {
	RequestID string
	From      Upstream
	To        Upstream
	Last      bool
}

// CacheAnswer is the answer to a CacheCopy. Handle names the copy, or the cache at the
// source if the run has stopped and the copy was refused. Events is the number of events that
// the run has created.
type CacheAnswer struct {
	Outcome CacheOutcome
	Handle  string
	Events  int
}

// CacheMover copies KV caches between engines. After an error it is not known whether the
// call was carried out.
type CacheMover interface {
	Copy(ctx context.Context, call CacheCopy) (CacheAnswer, error)
	// Free frees the copy of a handle, at both ends if it is called at the source.
	Free(ctx context.Context, at Upstream, handle string) error
}
