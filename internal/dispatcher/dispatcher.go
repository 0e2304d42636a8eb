package dispatcher

import (
	"context"
	"iter"
	"net/http"
	"time"
)

// Target is the upstream of an attempt.
type Target struct {
	ID      string
	Address string
}

// Attempt is one try of a request on an upstream.
type Attempt struct {
	RequestID string
	Number    int
	Route     string
	// Body is the caller's JSON for a model, the payload for a service.
	Body []byte
	// ResumeFrom is the number of tokens that the caller has already.
	ResumeFrom int
	// ResumeText is the text of those tokens.
	ResumeText []byte
	// ResumeKV names a cache that was moved to the upstream for this attempt.
	ResumeKV bool
}

// Part is one piece of a streamed answer.
type Part struct {
	Offset int
	Text   string
	Done   bool
}

// Stream is an answer that is being received.
type Stream interface {
	// Parts returns the parts in order, up to the last one or an error. Parts
	// of other attempts and parts that were received already are dropped; a
	// gap is an error. The parts can be ranged over once.
	Parts() iter.Seq2[Part, error]
	// Running returns how many requests the upstream said that it runs, this
	// one included, when it took this one. It is 0 if it did not say.
	Running() int
	// Close ends the stream; its connection is not used again unless the
	// answer was read to its end.
	Close()
}

// Call is a request to a plain service.
type Call struct {
	Attempt
	Method      string
	Path        string
	ContentType string
	// IdempotencyKey is the organisation's idempotency key as the service knows it.
	IdempotencyKey string
	// NewConnection asks for a connection of its own.
	NewConnection bool
}

// Response is a service's answer.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Load is what an upstream says of itself.
type Load struct {
	Version string
	Running int
	Slots   int
	// ReclaimIn is the time left before a reclaim, 0 if there is no notice.
	ReclaimIn time.Duration
	// BootID differs after each start of the upstream's process.
	BootID string
}

// Progress is what an upstream knows of an attempt.
type Progress struct {
	Found  bool
	Done   bool
	Tokens int
}

// EngineClient is how model engines are used.
type EngineClient interface {
	Generate(ctx context.Context, target Target, attempt Attempt) (Stream, error)
	// MoveKV moves the cache of an attempt from one engine to another.
	MoveKV(ctx context.Context, from, to Target, requestID string, attempt int) error
}

// ServiceClient is how plain services are used.
type ServiceClient interface {
	Call(ctx context.Context, target Target, call Call) (Response, error)
}

// Prober asks upstreams about themselves, always on a connection of its own.
type Prober interface {
	Load(ctx context.Context, target Target) (Load, error)
	Progress(ctx context.Context, target Target, requestID string, attempt int) (Progress, error)
}

// UpstreamClient is everything that an entry needs of upstreams.
type UpstreamClient interface {
	EngineClient
	ServiceClient
	Prober
}

const (
	headerRequestID  = "X-Request-Id"
	headerAttempt    = "X-Attempt"
	headerResumeFrom = "X-Resume-From"
	headerResumeKV   = "X-Resume-Kv"
	headerKey        = "X-Key"
	headerNotRun     = "X-Not-Run"
	headerRunning    = "X-Running"
)

// IsForwardableStatus reports whether an HTTP status is the service's own answer, which
// goes to the caller as it is.
func IsForwardableStatus(status int) bool {
	return status < http.StatusInternalServerError
}
