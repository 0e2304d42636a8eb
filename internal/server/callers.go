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

// caller is an authenticated request as far as it has been read.
type caller struct {
	org      planner.Organisation
	cfg      *planner.Config
	body     []byte
	key      string
	id       string
	deadline time.Duration
}

// callers returns the HTTP interface for callers and for the balancer.
func (s *Server) callers() http.Handler {
	engine := gin.New()
	engine.Use(gin.CustomRecovery(s.recovered))
	engine.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	engine.GET("/readyz", s.serveReady)
	engine.POST("/v1/chat/completions", s.serveChat)
	engine.GET("/v1/requests/:id", s.serveJoin)
	engine.Any("/services/:route", s.serveService)
	engine.Any("/services/:route/*path", s.serveService)
	engine.NoRoute(func(c *gin.Context) {
		s.reply(c, judge.Refuse(judge.CodeNotFound, judge.NotRun, "there is nothing at this path"))
	})
	return engine
}

func (s *Server) recovered(c *gin.Context, cause any) {
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

// reply answers with a refusal.
func (s *Server) reply(c *gin.Context, refusal *judge.Refusal) {
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
func (s *Server) authenticate(r *http.Request) (caller, *judge.Refusal) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return caller{}, judge.Refuse(judge.CodeUnauthorised, judge.NotRun, "a bearer token is needed")
	}
	cfg := s.state.config()
	if cfg == nil {
		return caller{}, judge.Refuse(judge.CodeNotConfigured, judge.NotRun, "this entry has no configuration yet").WithRetryAfter(s.jitter(time.Second))
	}
	org, ok := cfg.Organisation(digestOf(token))
	if !ok {
		return caller{}, judge.Refuse(judge.CodeUnauthorised, judge.NotRun, "the bearer token is not known")
	}
	return caller{org: org, cfg: cfg}, nil
}

func digestOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// receive authenticates a request and reads what is common to all routes.
func (s *Server) receive(c *gin.Context) (caller, *judge.Refusal) {
	who, refusal := s.authenticate(c.Request)
	if refusal != nil {
		return who, refusal
	}
	if stopping, why := s.state.closed(); stopping {
		return who, judge.Refuse(judge.CodeLeaving, judge.NotRun, why).WithRetryAfter(s.jitter(time.Second))
	}
	who.key = c.GetHeader(headerKey)
	if len(who.key) > maxKeyBytes {
		return who, judge.Refuse(judge.CodeBadRequest, judge.NotRun, headerKey+" is longer than 256 bytes")
	}
	if refusal := who.readDeadline(c.GetHeader(headerDeadline)); refusal != nil {
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
	who.id = uuid.NewString()
	return who, nil
}

// closed reports whether new requests are turned away, and why.
func (s *state) closed() (bool, string) {
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

func (w *caller) readDeadline(header string) *judge.Refusal {
	if header == "" {
		return nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 || ms > (24*time.Hour).Milliseconds() {
		return judge.Refuse(judge.CodeBadRequest, judge.NotRun, headerDeadline+" must be a number of milliseconds between 1 and 86400000")
	}
	w.deadline = time.Duration(ms) * time.Millisecond
	return nil
}

// within returns the time that a request of a route may take in all.
func (w *caller) within(route planner.Route) time.Duration {
	if w.deadline > 0 && w.deadline < route.FinishWithin() {
		return w.deadline
	}
	return route.FinishWithin()
}

// admitWithin returns the time within which a request must be admitted.
func (w *caller) admitWithin(route planner.Route) time.Duration {
	return min(route.AnswerWithin(), w.within(route))
}

// keyedID is the request id that belongs to an organisation's key, so that a
// request that is sent again finds the first one.
func keyedID(org planner.Organisation, key string) string {
	sum := sha256.Sum256([]byte(org.Name + "\x00" + key))
	return "k-" + hex.EncodeToString(sum[:16])
}

// slowly sets the time for each write to a caller.
func slowly(c *gin.Context, now time.Time) {
	_ = http.NewResponseController(c.Writer).SetWriteDeadline(now.Add(writeTimeout))
}

// detached returns a context that outlives the caller's connection and ends
// with the request's deadline or the entry.
func (s *Server) detached(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.base, limit)
}
