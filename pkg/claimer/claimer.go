package claimer

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/galenahitch/galenahitch/pkg/judge"
)

// Claim is the row of one idempotency key.
type Claim struct {
	// Token is unique to the writer of the claim.
	Token string `json:"token"`
	// Digest is that of the request's body and path.
	Digest    string `json:"digest"`
	RequestID string `json:"request_id"`
	EntryID   string `json:"entry_id"`
	// Upstream and Attempt say where the one dispatch goes.
	UpstreamID      string `json:"upstream_id"`
	UpstreamAddress string `json:"upstream_address"`
	Attempt         int    `json:"attempt"`
	// Verdict is empty until the outcome is known. Ran without a Status means
	// that the request ran and its answer was lost.
	Verdict     judge.Verdict `json:"verdict,omitempty"`
	Status      int           `json:"status,omitempty"`
	ContentType string        `json:"type,omitempty"`
	Body        []byte        `json:"body,omitempty"`
}

// HasOutcome reports whether the outcome is recorded.
func (c Claim) HasOutcome() bool { return c.Verdict != "" }

// Action is what to do for a caller whose key is claimed already.
type Action int

// The actions of Decide.
const (
	// QueryUpstream: the outcome is not recorded; the upstream may know it.
	QueryUpstream Action = iota
	// Replay: answer with the recorded outcome.
	Replay
	// Replace: nothing ran; the row may be replaced at its present version.
	Replace
	// RejectReuse: the key belongs to another request.
	RejectReuse
)

// Decide returns what to do with an existing claim for a request of digest.
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

// Key returns the table key of an organisation's idempotency key. Its length
// does not depend on the caller's.
func Key(organisation, key string) string {
	return "claim/" + Digest([]byte(organisation), []byte(key))
}

// Digest returns the hex SHA-256 of parts, which are kept apart.
func Digest(parts ...[]byte) string {
	h := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256(part)
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}
