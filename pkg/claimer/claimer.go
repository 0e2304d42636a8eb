package claimer

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/galenahitch/galenahitch/pkg/judge"
)

// Claim is the table row of one idempotency key.
type Claim struct {
	// Token is unique to the write of the claim.
	Token string `json:"token"`
	// Digest is the digest of the request's body and path.
	Digest    string `json:"digest"`
	RequestID string `json:"request_id"`
	EntryID   string `json:"entry_id"`
	// UpstreamID, UpstreamAddress and Attempt identify the only dispatch.
	UpstreamID      string `json:"upstream_id"`
	UpstreamAddress string `json:"upstream_address"`
	Attempt         int    `json:"attempt"`
	// Verdict is empty until the outcome is known. Ran without a Status means
	// that the request ran and its response was lost.
	Verdict     judge.Verdict `json:"verdict,omitempty"`
	Status      int           `json:"status,omitempty"`
	ContentType string        `json:"type,omitempty"`
	Body        []byte        `json:"body,omitempty"`
}

// HasOutcome reports whether the outcome is recorded.
func (c Claim) HasOutcome() bool { return c.Verdict != "" }

// Action is what an entry does for a caller whose key has a claim already.
type Action int

// The actions of Decide.
const (
	// QueryUpstream: no outcome is recorded; the upstream may have it.
	QueryUpstream Action = iota
	// Replay: respond with the recorded outcome.
	Replay
	// Replace: nothing ran; the row may be replaced at its current version.
	Replace
	// RejectReuse: the key belongs to a different request.
	RejectReuse
)

// Decide returns the action for a request with the given digest if the table has
// the claim existing for its key.
func Decide(existing Claim, digest string) Action {
	switch {
	case existing.Digest != digest:
		return RejectReuse
	case existing.Verdict == judge.NotRun:
		return Replace
	case existing.Verdict == judge.Ran:
		return Replay
	default:
		return QueryUpstream
	}
}

// Key returns the table key of an organisation's idempotency key. Its length does
// not depend on the length of key.
func Key(organisation, key string) string {
	return "claim/" + Digest([]byte(organisation), []byte(key))
}

// Digest returns the hex SHA-256 of the parts' hashes, so that the result depends
// on the boundaries between the parts.
func Digest(parts ...[]byte) string {
	h := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}
