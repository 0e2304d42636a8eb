package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"

	"github.com/galenahitch/galenahitch/internal/replayer"
	"github.com/galenahitch/galenahitch/pkg/charter"
	"github.com/galenahitch/galenahitch/pkg/claimer"
	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/planner"
)

// chatRequest contains the fields of a chat completion that the entry reads. The
// engine receives the body unchanged.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// prefixBytes is the length of the part of a conversation that prefixHash reads.
const prefixBytes = 256

// prefixHash returns a hash, never 0, of the first prefixBytes of a conversation.
// Requests with the same hash can share an engine's prefix cache.
func prefixHash(r *request) uint64 {
	start := max(0, bytes.Index(r.body, []byte(`"messages"`)))
	return xxhash.Sum64(r.body[start:min(len(r.body), start+prefixBytes)]) | 1
}

func (s *Server) serveChat(c *gin.Context) {
	caller, refusal := s.readRequest(c)
	if refusal != nil {
		s.writeRefusal(c, refusal)
		return
	}
	req, route, refusal := parseChat(caller)
	if refusal != nil {
		s.writeRefusal(c, refusal)
		return
	}
	r := s.newRun(caller, req, route)
	if existing, ok := s.locateByKey(c.Request.Context(), r, caller.idempotencyKey); ok {
		s.join(c, existing, caller.org, req.Stream, r.digest)
		return
	}
	if refusal := s.startRun(c.Request.Context(), r, caller); refusal != nil {
		refusal.RequestID = r.id
		s.writeRefusal(c, refusal)
		return
	}
	s.send(c, &r.buffer, r.id, route.Name, resumeOffset(c), req.Stream)
}

func parseChat(caller callerRequest) (chatRequest, planner.Route, *judge.Refusal) {
	var req chatRequest
	if err := json.Unmarshal(caller.body, &req); err != nil {
		return req, planner.Route{}, judge.Refuse(judge.CodeBadRequest, judge.NotRun, "the body is not a JSON chat completion: "+err.Error())
	}
	if len(req.Messages) == 0 {
		return req, planner.Route{}, judge.Refuse(judge.CodeBadRequest, judge.NotRun, "messages is empty")
	}
	if req.MaxTokens < 0 || req.MaxTokens > maxTokensLimit {
		return req, planner.Route{}, judge.Refuse(judge.CodeBadRequest, judge.NotRun, fmt.Sprintf("max_tokens must be between 0 and %d", maxTokensLimit))
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	route, ok := caller.cfg.Route(req.Model)
	if !ok {
		return req, route, judge.Refuse(judge.CodeUnknownRoute, judge.NotRun, "model "+strconv.Quote(req.Model)+" is not known")
	}
	if d, _ := caller.cfg.Deployment(route.Deployment); d.Kind != planner.KindModel {
		return req, route, judge.Refuse(judge.CodeUnknownRoute, judge.NotRun, strconv.Quote(req.Model)+" is a service; call it at /services/"+req.Model)
	}
	return req, route, nil
}

func (s *Server) newRun(caller callerRequest, req chatRequest, route planner.Route) *request {
	now := s.now()
	r := &request{
		id:          caller.requestID,
		org:         caller.org,
		route:       route,
		digest:      claimer.Digest([]byte(route.Name), caller.body),
		body:        caller.body,
		maxTokens:   req.MaxTokens,
		fingerprint: isolator.FingerprintOf(caller.org.Name, route.Name, caller.body),
		startedAt:   now,
		deadline:    now.Add(caller.timeoutFor(route)),
		state:       charter.Request().Initial(),
		relayDone:   make(chan struct{}),
	}
	if caller.idempotencyKey != "" {
		r.id = requestIDForKey(caller.org, caller.idempotencyKey)
	}
	return r
}

// runLocation is where a run was found: run is set if it is on this entry,
// peerAddress if it is on a peer.
type runLocation struct {
	run         *request
	peerAddress string
	digest      string
	id          string
}

// locateByKey finds the run of an earlier request with the same idempotency key.
// The ID of r is derived from the key.
func (s *Server) locateByKey(ctx context.Context, r *request, key string) (runLocation, bool) {
	if key == "" {
		return runLocation{}, false
	}
	return s.locate(ctx, r.id, r.org)
}

// locate finds an open or finished run of an organisation on this entry or on a
// peer.
func (s *Server) locate(ctx context.Context, id string, org planner.Organisation) (runLocation, bool) {
	if existing, ok := s.runs.find(id); ok && existing.org.Name == org.Name {
		kind := existing.buffer.State().Kind
		if kind == replayer.Open || kind == replayer.Done {
			return runLocation{run: existing, digest: existing.digest, id: id}, true
		}
	}
	return s.locateAtPeer(ctx, id, org)
}

// startRun admits a run, registers it and starts its relay.
func (s *Server) startRun(ctx context.Context, r *request, caller callerRequest) *judge.Refusal {
	if s.crashStatus(r.fingerprint) == isolator.Confirmed {
		s.logQuarantined(r.id, r.fingerprint)
		r.transition("refuse")
		return judge.Refuse(judge.CodeCrashesUpstreams, judge.NotRun, "this request crashes the upstreams that run it")
	}
	now := s.now()
	if refusal := s.state.admit(ctx, now, r.org, r.route, now.Add(caller.admissionTimeout(r.route))); refusal != nil {
		r.transition("refuse")
		return refusal
	}
	r.admitted = true
	r.transition("admit")
	existing, added := s.runs.addIfAbsent(r)
	if !added {
		s.state.release(s.now(), r.org, r.route, 0)
		return judge.Refuse(judge.CodeInProgress, judge.NotRun, "the same key is being answered; ask again to join it").WithRetryAfter(100 * time.Millisecond).WithRequestID(existing.id)
	}
	s.startRelay(r)
	return nil
}

// startRelay starts the relay of a run. It ends at the run's deadline at the latest.
func (s *Server) startRelay(r *request) {
	runCtx, cancel := s.detachedContext(r.deadline.Sub(s.now()))
	r.cancel = cancel
	go func() {
		defer cancel()
		s.relay(runCtx, r)
	}()
}

// resumeOffset returns the offset of the first part that a caller has not
// received, from its Last-Event-ID header.
func resumeOffset(c *gin.Context) int {
	last, err := strconv.Atoi(c.GetHeader(headerLastEventID))
	if err != nil || last < 0 {
		return 0
	}
	return last + 1
}

// serveJoin responds with the parts of an existing run to a caller that lost its
// connection.
func (s *Server) serveJoin(c *gin.Context) {
	caller, refusal := s.authenticate(c.Request)
	if refusal != nil {
		s.writeRefusal(c, refusal)
		return
	}
	location, ok := s.locate(c.Request.Context(), c.Param("id"), caller.org)
	if !ok {
		refusal := judge.Refuse(judge.CodeNotFound, judge.MayHaveRun, "no entry in reach has this request").WithRetryAfter(s.jitter(time.Second))
		s.writeRefusal(c, refusal)
		return
	}
	stream := strings.Contains(c.GetHeader("Accept"), "text/event-stream") || c.GetHeader(headerLastEventID) != ""
	s.join(c, location, caller.org, stream, location.digest)
}

// join responds from an existing run on this entry or on a peer.
func (s *Server) join(c *gin.Context, location runLocation, org planner.Organisation, stream bool, digest string) {
	if location.digest != digest {
		s.writeRefusal(c, judge.Refuse(judge.CodeKeyReuse, judge.NotRun, "the key belongs to another request"))
		return
	}
	s.metrics.Count("joins")
	if location.run != nil {
		s.send(c, &location.run.buffer, location.id, location.run.route.Name, resumeOffset(c), stream)
		return
	}
	from := 0
	if stream {
		from = resumeOffset(c)
	}
	var buffer replayer.Buffer
	ctx, cancel := context.WithCancel(c.Request.Context())
	defer cancel()
	go s.copyFromPeer(ctx, &buffer, location, org, from)
	s.sendFrom(c, buffer.Reader(0), from, location.id, "", stream)
}
