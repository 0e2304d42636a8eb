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

// callerRequest is an authenticated request as far as it has been read.
type callerRequest struct {
	org              planner.Organisation
	cfg              *planner.Config
	body             []byte
	idempotencyKey   string
	requestID        string
	requestedTimeout time.Duration
}

// callerHandler returns the HTTP interface for callerHandler and for the balancer.
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
	ready, why := s.state.ready()
	if !ready {
		c.String(http.StatusServiceUnavailable, "not ready: %s\n", why)
		return
	}
	c.String(http.StatusOK, "ready generation=%d\n", s.state.generation())
}

// writeRefusal answers with a refusal.
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

// authenticate finds the caller's organisation. A caller without a known token
// learns nothing else.
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

func tokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// readRequest authenticates a request and reads what is common to all routes.
func (s *Server) readRequest(c *gin.Context) (callerRequest, *judge.Refusal) {
	who, refusal := s.authenticate(c.Request)
	if refusal != nil {
		return who, refusal
	}
	if stopping, why := s.state.refusesRequests(); stopping {
		return who, judge.Refuse(judge.CodeLeaving, judge.NotRun, why).WithRetryAfter(s.jitter(time.Second))
	}
	who.idempotencyKey = c.GetHeader(headerIdempotencyKey)
	if len(who.idempotencyKey) > maxKeyBytes {
		return who, judge.Refuse(judge.CodeBadRequest, judge.NotRun, headerIdempotencyKey+" is longer than 256 bytes")
	}
	if refusal := who.parseTimeout(c.GetHeader(headerDeadline)); refusal != nil {
		return who, refusal
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return who, judge.Refuse(judge.CodeTooLarge, judge.NotRun, "the body is larger than 1 MiB")
	}
	if err != nil {
		return who, judge.Refuse(judge.CodeBadRequest, judge.NotRun, "the body could not be read whole")
	}
	who.body = body
	who.requestID = uuid.NewString()
	return who, nil
}

// refusesRequests reports whether new requests are turned away, and why.
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

func (w *callerRequest) parseTimeout(header string) *judge.Refusal {
	if header == "" {
		return nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 || ms > (24*time.Hour).Milliseconds() {
		return judge.Refuse(judge.CodeBadRequest, judge.NotRun, headerDeadline+" must be a number of milliseconds between 1 and 86400000")
	}
	w.requestedTimeout = time.Duration(ms) * time.Millisecond
	return nil
}

// timeoutFor returns the time that a request of a route may take in all.
func (w *callerRequest) timeoutFor(route planner.Route) time.Duration {
	if w.requestedTimeout > 0 && w.requestedTimeout < route.FinishWithin() {
		return w.requestedTimeout
	}
	return route.FinishWithin()
}

// admissionTimeout returns the time within which a request must be admitted.
func (w *callerRequest) admissionTimeout(route planner.Route) time.Duration {
	return min(route.AnswerWithin(), w.timeoutFor(route))
}

// requestIDForKey is the request id that belongs to an organisation's key, so that a
// request that is sent again finds the first one.
func requestIDForKey(org planner.Organisation, key string) string {
	sum := sha256.Sum256([]byte(org.Name + "\x00" + key))
	return "k-" + hex.EncodeToString(sum[:16])
}

// setWriteDeadline sets the time for each write to a caller.
func setWriteDeadline(c *gin.Context, now time.Time) {
	_ = http.NewResponseController(c.Writer).SetWriteDeadline(now.Add(writeTimeout))
}

// detachedContext returns a context that outlives the caller's connection and ends
// with the request's deadline or the entry.
func (s *Server) detachedContext(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.baseContext, limit)
}
