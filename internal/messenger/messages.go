package messenger

import (
	"github.com/galenahitch/galenahitch/internal/provider"
	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/tracker"
)

// Exchange is the state that one entry sends to another. It is the request and
// the response of the method of this name.
type Exchange struct {
	From         tracker.Member         `cbor:"1,keyasint"`
	Generation   uint64                 `cbor:"2,keyasint"`
	Ready        bool                   `cbor:"3,keyasint,omitempty"`
	Leaving      bool                   `cbor:"4,keyasint,omitempty"`
	Members      []tracker.Member       `cbor:"5,keyasint,omitempty"`
	Notices      []provider.Notice      `cbor:"6,keyasint,omitempty"`
	Moves        []mover.Move           `cbor:"7,keyasint,omitempty"`
	CrashRecords []isolator.CrashRecord `cbor:"8,keyasint,omitempty"`
	MoveOutcomes []MoveOutcomes         `cbor:"9,keyasint,omitempty"`
}

// MoveOutcomes counts the outcomes of one entry on one route since the start of
// a move, for the current and for the new version.
type MoveOutcomes struct {
	EntryID string       `cbor:"1,keyasint"`
	MoveID  string       `cbor:"2,keyasint"`
	Route   string       `cbor:"3,keyasint"`
	Current mover.Counts `cbor:"4,keyasint"`
	New     mover.Counts `cbor:"5,keyasint"`
}

// StateRequest requests the state that a new entry needs.
type StateRequest struct {
	// AfterGeneration requests the configuration only if its generation is higher.
	AfterGeneration uint64 `cbor:"1,keyasint"`
	// IncludeVMs requests the VM list, which is large.
	IncludeVMs bool `cbor:"2,keyasint,omitempty"`
}

// State is what an entry needs to serve while the platform is down.
type State struct {
	Config []byte        `cbor:"1,keyasint,omitempty"`
	VMs    []provider.VM `cbor:"2,keyasint,omitempty"`
	Moves  []mover.Move  `cbor:"3,keyasint,omitempty"`
}

// HandoffRequest offers a running request to a peer.
type HandoffRequest struct {
	RequestID    string `cbor:"1,keyasint"`
	Organisation string `cbor:"2,keyasint"`
	Route        string `cbor:"3,keyasint"`
	Digest       string `cbor:"4,keyasint"`
	Body         []byte `cbor:"5,keyasint"`
	MaxTokens    int    `cbor:"6,keyasint"`
	// Parts are the parts that the caller may already have.
	Parts    []string `cbor:"7,keyasint"`
	Attempts int      `cbor:"8,keyasint"`
	// RemainingMS is the time until the request's deadline.
	RemainingMS int64 `cbor:"9,keyasint"`
}

// HandoffReply says whether the peer accepted the request.
type HandoffReply struct {
	Accepted bool `cbor:"1,keyasint"`
}

// LocateRequest queries whether a peer has a request.
type LocateRequest struct {
	RequestID    string `cbor:"1,keyasint"`
	Organisation string `cbor:"2,keyasint"`
}

// LocateReply is the response to a LocateRequest.
type LocateReply struct {
	Found bool `cbor:"1,keyasint"`
	// Digest is the digest of the request's body.
	Digest string `cbor:"2,keyasint,omitempty"`
}

// JoinRequest requests the parts of a request, starting at offset From.
type JoinRequest struct {
	RequestID    string `cbor:"1,keyasint"`
	Organisation string `cbor:"2,keyasint"`
	From         int    `cbor:"3,keyasint"`
}

// JoinPart is one part of a joined request, or its end.
type JoinPart struct {
	Offset int    `cbor:"1,keyasint"`
	Text   string `cbor:"2,keyasint,omitempty"`
	Done   bool   `cbor:"3,keyasint,omitempty"`
	// Refusal is the refusal that ended the request, encoded as JSON.
	Refusal []byte `cbor:"4,keyasint,omitempty"`
	// HandedOff says that the peer does not have the request, or has handed it off
	// to another entry.
	HandedOff bool `cbor:"5,keyasint,omitempty"`
}
