package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/resolver"
)

const (
	// defaultTimeout applies to requests that give no timeout.
	defaultTimeout = 60 * time.Second
	// retryDelay is the mean delay after which a refused caller is asked to
	// retry.
	retryDelay = time.Second
	// otherEntryRetryDelay replaces retryDelay for callers whose retries go to
	// other entries.
	otherEntryRetryDelay = 100 * time.Millisecond
)

// The causes of canceled contexts of calls.
var (
	errDeadline     = errors.New("the deadline passed")
	errDisconnected = errors.New("the caller has left")
	errStopping     = errors.New("the process has to stop")
)

func (g *Gateway) callerHandler() http.Handler {
	engine := gin.New()
	engine.NoRoute(func(c *gin.Context) { g.serve(c.Writer, c.Request) })
	engine.NoMethod(func(c *gin.Context) { g.serve(c.Writer, c.Request) })
	return engine
}

// serve handles one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	now := g.cfg.Now()
	g.openRequests.Add(1)
	defer g.openRequests.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c, refusal := g.accept(w, r, now)
	if c.bodyMemory != nil {
		defer c.bodyMemory.Release()
	}
	if refusal == nil && !serveOn(r.Context()) {
		c.disconnected = true
		refusal = judge.Refuse(judge.CodeDeadline, judge.NotRun, "the connection was evicted")
	}
	if refusal == nil {
		refusal = g.forward(r.Context(), w, c)
	}
	if refusal != nil {
		g.refuse(w, r, c, refusal)
	}
	g.logCall(c, refusal)
}

// abortResponse ends a response that is incomplete by closing its connection. A caller
// of HTTP/1.0 would take the end of the connection for the end of the response, so its
// connection is reset.
func abortResponse(r *http.Request) {
	if conn, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok && !r.ProtoAtLeast(1, 1) {
		if tcp, ok := conn.Conn.(*net.TCPConn); ok {
			// If this fails the connection is closed already.
			_ = tcp.SetLinger(0)
		}
	}
	panic(http.ErrAbortHandler)
}

// accept decodes a request, finds its route and organisation and reads its
// body. The call that it returns is never nil.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*call, *judge.Refusal) {
	c := &call{arrived: now}
	config := g.state.resolver.Load()
	if config == nil {
		return c, judge.Refuse(judge.CodeNotConfigured, judge.NotRun, "no configuration is known yet").WithRetryAfter(g.state.jitter(retryDelay))
	}
	c.resolver = config
	if status, known := g.configFollower.Status(g.cfg.LeaseNow(), false); known {
		c.configAge, c.configBehind = status.Age, status.Behind
	}
	request, err := g.cfg.Codec.Request(r)
	c.request = request
	if err != nil {
		return c, judge.Refuse(judge.CodeBadRequest, judge.NotRun, err.Error())
	}
	if refusal := c.resolve(config); refusal != nil {
		return c, refusal
	}
	c.deadline = now.Add(c.timeout())
	c.domains = g.state.allowedDomains(c.route, c.org)
	c.parts = crashParts(request.PromptParts)
	if refusal := g.refuseConvictedPart(c); refusal != nil {
		return c, refusal
	}
	if g.mayOutliveProcess(c) {
		return c, judge.Refuse(judge.CodeLeaving, judge.NotRun, "the process is about to end").WithRetryAfter(g.state.jitter(otherEntryRetryDelay))
	}
	if refusal := g.readBody(w, r, c, config.Limits().BodyBytes); refusal != nil {
		return c, refusal
	}
	c.setFingerprint()
	return c, nil
}

// resolve finds the route and the organisation of a call.
func (c *call) resolve(config *resolver.Resolver) *judge.Refusal {
	route, ok := config.Route(c.request.Host, c.request.Path)
	if !ok {
		return judge.Refuse(judge.CodeUnknownRoute, judge.NotRun, "no route matches")
	}
	c.route = route
	if route.Public || !config.NeedsKeys() {
		return nil
	}
	org, ok := config.Organisation(c.request.APIKey)
	if !ok {
		return judge.Refuse(judge.CodeUnauthorised, judge.NotRun, "the key is not known")
	}
	c.org = org
	return nil
}

// setFingerprint computes the fingerprint from the parts of a request that its
// caller repeats.
func (c *call) setFingerprint() {
	organisation := ""
	if c.org != nil {
		organisation = c.org.Name
	}
	c.fingerprint = isolator.FingerprintOf(organisation, c.request.Method+" "+c.request.Host+c.request.Target, c.body)
}

// timeout returns how long the call may take in all.
func (c *call) timeout() time.Duration {
	limit := c.request.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if c.route.Timeout > 0 {
		limit = min(limit, c.route.Timeout)
	}
	return limit
}

// refuse sends a refusal to the caller. If part of a response was sent already,
// or the caller disconnected, it aborts the connection instead, so that the
// response does not look complete.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, c *call, refusal *judge.Refusal) {
	if c.responseStarted || c.disconnected {
		g.logCall(c, refusal)
		abortResponse(r)
	}
	if promisesNotRun(refusal.Status) && refusal.Verdict != judge.NotRun {
		g.cfg.Log.Error().Str("event", "refusal_untrue").Str("request_id", c.request.ID).Int("status", refusal.Status).
			Str("verdict", string(refusal.Verdict)).Send()
		refusal.Status = http.StatusBadGateway
	}
	header := w.Header()
	g.cfg.Codec.SetRefusal(header, c.request.ID, time.Duration(refusal.RetryAfterMS)*time.Millisecond)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(refusal.Status)
	if _, err := io.WriteString(w, refusal.Message+"\n"); err != nil {
		g.cfg.Log.Debug().Str("event", "refusal_not_sent").Str("request_id", c.request.ID).Err(err).Send()
	}
}

// promisesNotRun reports whether a status promises callers that the request has
// not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// logCall writes the log line of a call and counts its outcome, once per call.
func (g *Gateway) logCall(c *call, refusal *judge.Refusal) {
	if c.logged {
		return
	}
	c.logged = true
	now := g.cfg.Now()
	outcome := "answered"
	switch {
	case c.disconnected:
		outcome = "caller_left"
	case refusal != nil:
		outcome = string(refusal.Code)
	}
	g.metrics.Count("requests_" + outcome)
	g.metrics.Observe("request_us", now.Sub(c.arrived).Microseconds())
	line := g.cfg.Log.Info().Str("event", "request").Str("request_id", c.request.ID).Str("route", c.route.Name).
		Str("outcome", outcome).Dur("took", now.Sub(c.arrived)).Int("sends", c.sends).Int("runs", c.runs)
	if c.org != nil {
		line = line.Str("organisation", c.org.Name)
	}
	if c.resolver != nil {
		line = line.Uint64("config", c.resolver.Version())
		line = line.Dur("config_age", c.configAge)
		if c.configBehind > 0 {
			line = line.Dur("config_behind", c.configBehind)
		}
	}
	if c.upstream.ID != "" {
		line = line.Str("upstream", c.upstream.ID).Int("status", c.status).Str("fingerprint", c.fingerprint.String()).
			Uint64("row_version", c.upstream.RowVersion.Number()).Dur("list_age", c.listAge).Str("framing", string(c.framing)).Int64("received", c.receivedBytes).Int("partial", c.partialEventBytes)
	}
	if c.prefix != 0 {
		line = line.Float64("held", c.heldTokens).Int("shared", c.sharedTokens)
		line = line.Str("prefix", strconv.FormatUint(c.prefix, 36)).Float64("met", c.loadAtStart)
	}
	if c.prediction.First > 0 {
		line = line.Dur("predicted", c.prediction.First).Dur("predicted_pause", c.prediction.Pause).Float64("slowness", c.prediction.Slowness).
			Dur("speed_age", c.prediction.Age).Float64("load", c.loadAtStart).Int("read", c.predictorRequest().ReadTokens).Dur("attempt", c.attemptLatency)
	}
	if c.waited > 0 {
		line = line.Dur("waited", c.waited)
	}
	if c.timeToFirstEvent > 0 {
		line = line.Dur("first", c.timeToFirstEvent)
	}
	if refusal != nil {
		line = line.Str("verdict", string(refusal.Verdict)).Int64("retry_after_ms", refusal.RetryAfterMS).Str("reason", refusal.Message)
	}
	line.Send()
}

// callContext returns a context that is canceled at the call's deadline, when
// its caller disconnects or when the process aborts open requests. The cause is
// errDeadline, errDisconnected or errStopping.
func (g *Gateway) callContext(parent context.Context, c *call) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadlineCause(context.WithoutCancel(parent), c.deadline, errDeadline)
	ctx, cancelCause := context.WithCancelCause(ctx)
	stopDisconnect := context.AfterFunc(parent, func() { cancelCause(errDisconnected) })
	stopAbort := context.AfterFunc(g.abortContext, func() { cancelCause(errStopping) })
	return ctx, func() {
		stopDisconnect()
		stopAbort()
		cancelCause(nil)
		cancel()
	}
}
