package judge

import (
	"errors"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

// Verdict says whether a request may have run at an upstream.
type Verdict string

// The verdicts, with the texts that callers read.
const (
	// NotRun means that no byte of the request was sent to an upstream, or that
	// the upstream reported by protocol that it did not run the request.
	NotRun Verdict = "not_run"
	// MayHaveRun means that neither of the other verdicts can be shown.
	MayHaveRun Verdict = "may_have_run"
	// Ran means that the upstream's response or status shows that the request ran.
	Ran Verdict = "ran"
)

var (
	namespace   = errorx.NewNamespace("upstream")
	failure     = namespace.NewType("failure")
	verdictProp = errorx.RegisterPrintableProperty("verdict")
)

// Errorf returns an error that carries v.
func Errorf(v Verdict, format string, args ...any) error {
	return failure.New(format, args...).WithProperty(verdictProp, v)
}

// Wrap returns an error that wraps cause and carries v, regardless of the verdict
// of cause.
func Wrap(v Verdict, cause error, format string, args ...any) error {
	return failure.Wrap(cause, format, args...).WithProperty(verdictProp, v)
}

// VerdictOf returns the verdict of err, or MayHaveRun if err carries none.
func VerdictOf(err error) Verdict {
	var typed *errorx.Error
	if !errors.As(err, &typed) {
		return MayHaveRun
	}
	found, ok := typed.Property(verdictProp)
	if !ok {
		return MayHaveRun
	}
	v, ok := found.(Verdict)
	if !ok {
		return MayHaveRun
	}
	return v
}

// Code identifies the reason of a refusal.
type Code string

// The codes of refusals.
const (
	CodeBadRequest       Code = "bad_request"
	CodeTooLarge         Code = "too_large"
	CodeUnauthorised     Code = "unauthorised"
	CodeUnknownRoute     Code = "unknown_route"
	CodeOverloaded       Code = "overloaded"
	CodeDeadline         Code = "deadline"
	CodeNoUpstream       Code = "no_upstream"
	CodeUpstreamFailed   Code = "upstream_failed"
	CodeStoreUnreachable Code = "store_unreachable"
	CodeInProgress       Code = "duplicate_in_progress"
	CodeUnknownOutcome   Code = "duplicate_unknown_outcome"
	CodeKeyReuse         Code = "idempotency_key_reuse"
	CodeCrashesUpstreams Code = "request_crashes_upstreams"
	CodeLeaving          Code = "leaving"
	CodeNotFound         Code = "not_found"
	CodeNotConfigured    Code = "not_configured"
	CodeConflict         Code = "conflict"
	CodeRetryBudgetSpent Code = "retry_budget_spent"
)

// Refusal is the body of every response that is not the upstream's own.
type Refusal struct {
	Code         Code    `json:"code"`
	Message      string  `json:"message"`
	Verdict      Verdict `json:"verdict"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
	RequestID    string  `json:"request_id,omitempty"`
	Status       int     `json:"-"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Code) + " (" + string(r.Verdict) + "): " + r.Message
}

// WithRetryAfter sets the time after which a retry may succeed, at least 1 ms, and
// returns r.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	r.RetryAfterMS = max(1, wait.Milliseconds())
	return r
}

// WithRequestID returns a copy of r with the request's ID.
func (r *Refusal) WithRequestID(requestID string) *Refusal {
	identified := *r
	identified.RequestID = requestID
	return &identified
}

// Refuse returns a refusal with the HTTP status of its code.
func Refuse(code Code, v Verdict, message string) *Refusal {
	return &Refusal{Code: code, Message: message, Verdict: v, Status: statusOf(code)}
}

func statusOf(code Code) int {
	switch code {
	case CodeBadRequest:
		return http.StatusBadRequest
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeUnauthorised:
		return http.StatusUnauthorized
	case CodeUnknownRoute, CodeNotFound:
		return http.StatusNotFound
	case CodeOverloaded:
		return http.StatusTooManyRequests
	case CodeDeadline:
		return http.StatusGatewayTimeout
	case CodeInProgress, CodeUnknownOutcome, CodeConflict:
		return http.StatusConflict
	case CodeKeyReuse, CodeCrashesUpstreams:
		return http.StatusUnprocessableEntity
	case CodeUpstreamFailed:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
