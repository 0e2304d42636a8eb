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
	// Body is the caller's JSON for a model engine or the payload for a service.
	Body []byte
	// ResumeFrom is the number of tokens that the caller already has.
	ResumeFrom int
	// ResumeText is the text of those tokens.
	ResumeText []byte
	// ResumeKV says that the KV cache was transferred to the upstream for this
	// attempt.
	ResumeKV bool
}

// Part is one part of a streamed response.
type Part struct {
	Offset int
	Text   string
	Done   bool
}

// Stream is a response that is being received.
type Stream interface {
	// Parts returns the parts in order, up to the last part or an error. It drops
	// parts of other attempts and parts that were already received; a missing
	// offset is an error. The sequence can be ranged over once.
	Parts() iter.Seq2[Part, error]
	// Running returns the number of requests that the upstream reported to be
	// running when it accepted this one, this one included. It is 0 if the
	// upstream did not report it.
	Running() int
	// Close ends the stream. The connection is reused only if the response was
	// read to its end.
	Close()
}

// Call is a request to a plain service.
type Call struct {
	Attempt
	Method      string
	Path        string
	ContentType string
	// IdempotencyKey is the organisation's idempotency key as the service
	// receives it.
	IdempotencyKey string
	// NewConnection sends the call on a new connection, not a pooled one.
	NewConnection bool
}

// Response is the response of a service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Load is the load that an upstream reports.
type Load struct {
	Version string
	Running int
	Slots   int
	// ReclaimIn is the time until the upstream is reclaimed, 0 without a notice.
	ReclaimIn time.Duration
	// BootID is different after each start of the upstream's process.
	BootID string
}

// Progress is the progress of an attempt as reported by its upstream.
type Progress struct {
	Found  bool
	Done   bool
	Tokens int
}

// EngineClient sends requests to model engines.
type EngineClient interface {
	Generate(ctx context.Context, target Target, attempt Attempt) (Stream, error)
	// MoveKV transfers the KV cache of an attempt from one engine to another.
	MoveKV(ctx context.Context, from, to Target, requestID string, attempt int) error
}

// ServiceClient sends calls to plain services.
type ServiceClient interface {
	Call(ctx context.Context, target Target, call Call) (Response, error)
}

// Prober queries the state of upstreams, always on new connections.
type Prober interface {
	Load(ctx context.Context, target Target) (Load, error)
	Progress(ctx context.Context, target Target, requestID string, attempt int) (Progress, error)
}

// Signals are what an upstream says of itself in the head of a response of any kind.
type Signals struct {
	// Leaving says that the upstream is reclaimed after ReclaimIn.
	Leaving   bool
	ReclaimIn time.Duration
	// RetryAfter is the time in which the upstream wants nothing from this entry, 0 if it
	// asks for none. Only a refusal with status 503 asks for time.
	RetryAfter time.Duration
}

// SignalSource is implemented by clients that report the signals of upstreams.
type SignalSource interface {
	// OnSignals sets the function that is called for each response with signals, before
	// the call that it belongs to returns.
	OnSignals(handle func(Target, Signals))
}

// UpstreamClient combines the interfaces through which an entry calls upstreams.
type UpstreamClient interface {
	EngineClient
	ServiceClient
	Prober
	// CloseIdle closes the kept connections that are idle.
	CloseIdle()
}

const (
	headerRequestID  = "X-Request-Id"
	headerAttempt    = "X-Attempt"
	headerResumeFrom = "X-Resume-From"
	headerResumeKV   = "X-Resume-Kv"
	headerKey        = "X-Key"
	headerNotRun     = "X-Not-Run"
	headerRunning    = "X-Running"
	headerLeaving    = "X-Leaving-Ms"
	headerRetryAfter = "Retry-After"
)

// IsForwardableStatus reports whether a response with this HTTP status is the
// service's own and is forwarded to the caller unchanged.
func IsForwardableStatus(status int) bool {
	return status < http.StatusInternalServerError
}
