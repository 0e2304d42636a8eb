package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/planner"
)

// callerRequest is an authenticated request of an organisation. authenticate sets
// org and cfg, readRequest the other fields.
type callerRequest struct {
	org            planner.Organisation
	cfg            *planner.Config
	body           []byte
	idempotencyKey string
	requestID      string
	// requestedTimeout is from the X-Deadline-Ms header, 0 if there is none.
	requestedTimeout time.Duration
}

// callerHandler returns the HTTP interface for callers and load balancers.
func (s *Server) callerHandler() http.Handler {
	engine := gin.New()
	engine.Use(gin.CustomRecovery(s.recoverPanic))
	engine.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	engine.GET("/readyz", s.serveReady)
	engine.POST("/v1/chat/completions", s.serveChat)
	engine.GET("/v1/requests/:id", s.serveJoin)
	engine.Any("/services/:route", s.serveService)
	engine.Any("/services/:route/*path", s.serveService)
	engine.NoRoute(func(c *gin.Context) {
		s.writeRefusal(c, judge.Refuse(judge.CodeNotFound, judge.NotRun, "there is nothing at this path"))
	})
	return engine
}

func (s *Server) recoverPanic(c *gin.Context, cause any) {
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	s.metrics.Count("panics")
	s.cfg.Log.Error().Str("event", "panic").Interface("cause", cause).Send()
	c.AbortWithStatus(http.StatusInternalServerError)
}

func (s *Server) serveReady(c *gin.Context) {
	ready, reason := s.state.ready()
	if !ready {
		c.String(http.StatusServiceUnavailable, "not ready: %s\n", reason)
		return
	}
	c.String(http.StatusOK, "ready generation=%d\n", s.state.generation())
}

// writeRefusal responds with a refusal and counts it.
func (s *Server) writeRefusal(c *gin.Context, refusal *judge.Refusal) {
	c.Header(headerVerdict, string(refusal.Verdict))
	if refusal.RequestID != "" {
		c.Header(headerRequestID, refusal.RequestID)
	}
	if refusal.RetryAfterMS > 0 {
		c.Header("Retry-After", strconv.FormatInt((refusal.RetryAfterMS+999)/1000, 10))
	}
	s.metrics.Count("refused_" + string(refusal.Code))
	c.AbortWithStatusJSON(refusal.Status, refusal)
}

// authenticate finds the organisation of the request's bearer token. A caller
// without a known token gets no further information.
func (s *Server) authenticate(r *http.Request) (callerRequest, *judge.Refusal) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return callerRequest{}, judge.Refuse(judge.CodeUnauthorised, judge.NotRun, "a bearer token is needed")
	}
	cfg := s.state.config()
	if cfg == nil {
		return callerRequest{}, judge.Refuse(judge.CodeNotConfigured, judge.NotRun, "this entry has no configuration yet").WithRetryAfter(s.jitter(time.Second))
	}
	org, ok := cfg.Organisation(tokenDigest(token))
	if !ok {
		return callerRequest{}, judge.Refuse(judge.CodeUnauthorised, judge.NotRun, "the bearer token is not known")
	}
	return callerRequest{org: org, cfg: cfg}, nil
}

// tokenDigest returns the hexadecimal SHA-256 digest of a bearer token.
func tokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// readRequest authenticates a request and reads the headers and the body that all
// routes have in common.
func (s *Server) readRequest(c *gin.Context) (callerRequest, *judge.Refusal) {
	caller, refusal := s.authenticate(c.Request)
	if refusal != nil {
		return caller, refusal
	}
	if refusing, reason := s.state.refusesRequests(); refusing {
		return caller, judge.Refuse(judge.CodeLeaving, judge.NotRun, reason).WithRetryAfter(s.jitter(time.Second))
	}
	caller.idempotencyKey = c.GetHeader(headerIdempotencyKey)
	if len(caller.idempotencyKey) > maxKeyBytes {
		return caller, judge.Refuse(judge.CodeBadRequest, judge.NotRun, headerIdempotencyKey+" is longer than 256 bytes")
	}
	if refusal := caller.parseTimeout(c.GetHeader(headerDeadline)); refusal != nil {
		return caller, refusal
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return caller, judge.Refuse(judge.CodeTooLarge, judge.NotRun, "the body is larger than 1 MiB")
	}
	if err != nil {
		return caller, judge.Refuse(judge.CodeBadRequest, judge.NotRun, "the body could not be read whole")
	}
	caller.body = body
	caller.requestID = uuid.NewString()
	return caller, nil
}

// refusesRequests reports whether new requests are refused, and why.
func (s *state) refusesRequests() (bool, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopping:
		return true, "this entry is stopping; another one answers"
	case s.leaving:
		return true, "this entry's VM is being reclaimed; another one answers"
	default:
		return false, ""
	}
}

// parseTimeout sets requestedTimeout from the value of a header, which may be empty.
func (r *callerRequest) parseTimeout(header string) *judge.Refusal {
	if header == "" {
		return nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 || ms > (24*time.Hour).Milliseconds() {
		return judge.Refuse(judge.CodeBadRequest, judge.NotRun, headerDeadline+" must be a number of milliseconds between 1 and 86400000")
	}
	r.requestedTimeout = time.Duration(ms) * time.Millisecond
	return nil
}

// timeoutFor returns the total time that a request to a route may take.
func (r *callerRequest) timeoutFor(route planner.Route) time.Duration {
	if r.requestedTimeout > 0 && r.requestedTimeout < route.FinishWithin() {
		return r.requestedTimeout
	}
	return route.FinishWithin()
}

// admissionTimeout returns the time that a request to a route may wait for
// admission.
func (r *callerRequest) admissionTimeout(route planner.Route) time.Duration {
	return min(route.AnswerWithin(), r.timeoutFor(route))
}

// requestIDForKey derives the request ID from an organisation's idempotency key, so
// that a repeated request has the ID of the first one.
func requestIDForKey(org planner.Organisation, key string) string {
	sum := sha256.Sum256([]byte(org.Name + "\x00" + key))
	return "k-" + hex.EncodeToString(sum[:16])
}

// setWriteDeadline limits the next write to a caller to writeTimeout from now.
func setWriteDeadline(c *gin.Context, now time.Time) {
	_ = http.NewResponseController(c.Writer).SetWriteDeadline(now.Add(writeTimeout))
}

// detachedContext returns a context that outlives the caller's connection. It ends
// after limit or when the entry stops.
func (s *Server) detachedContext(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.baseContext, limit)
}
