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

// chatRequest is what the entry reads of a chat completion; the rest goes to
// the engine as it is.
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

// prefixBytes is how much of a conversation's beginning makes its prefix.
const prefixBytes = 256

// prefixHash hashes the beginning of a conversation; requests that share it
// share an engine's cache.
func prefixHash(r *request) uint64 {
	at := max(0, bytes.Index(r.body, []byte(`"messages"`)))
	return xxhash.Sum64(r.body[at:min(len(r.body), at+prefixBytes)]) | 1
}

func (s *Server) serveChat(c *gin.Context) {
	who, refusal := s.readRequest(c)
	if refusal != nil {
		s.writeRefusal(c, refusal)
		return
	}
	req, route, refusal := parseChat(who)
	if refusal != nil {
		s.writeRefusal(c, refusal)
		return
	}
	r := s.newRun(who, req, route)
	if existing, ok := s.locateByKey(c.Request.Context(), r, who.idempotencyKey); ok {
		s.join(c, existing, who.org, req.Stream, r.digest)
		return
	}
	if refusal := s.startRun(c.Request.Context(), r, who); refusal != nil {
		refusal.RequestID = r.id
		s.writeRefusal(c, refusal)
		return
	}
	s.send(c, &r.buffer, r.id, route.Name, resumeOffset(c), req.Stream)
}

func parseChat(who callerRequest) (chatRequest, planner.Route, *judge.Refusal) {
	var req chatRequest
	if err := json.Unmarshal(who.body, &req); err != nil {
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
	route, ok := who.cfg.Route(req.Model)
	if !ok {
		return req, route, judge.Refuse(judge.CodeUnknownRoute, judge.NotRun, "model "+strconv.Quote(req.Model)+" is not known")
	}
	if d, _ := who.cfg.Deployment(route.Deployment); d.Kind != planner.KindModel {
		return req, route, judge.Refuse(judge.CodeUnknownRoute, judge.NotRun, strconv.Quote(req.Model)+" is a service; call it at /services/"+req.Model)
	}
	return req, route, nil
}

func (s *Server) newRun(who callerRequest, req chatRequest, route planner.Route) *request {
	now := s.now()
	r := &request{
		id:          who.requestID,
		org:         who.org,
		route:       route,
		digest:      claimer.Digest([]byte(route.Name), who.body),
		body:        who.body,
		maxTokens:   req.MaxTokens,
		fingerprint: isolator.FingerprintOf(who.org.Name, route.Name, who.body),
		startedAt:   now,
		deadline:    now.Add(who.timeoutFor(route)),
		state:       charter.Request().Initial(),
		relayDone:   make(chan struct{}),
	}
	if who.idempotencyKey != "" {
		r.id = requestIDForKey(who.org, who.idempotencyKey)
	}
	return r
}

// runLocation is a run of this entry or of a peer.
type runLocation struct {
	run         *request
	peerAddress string
	digest      string
	id          string
}

// locateByKey finds a run that was started under the same key.
func (s *Server) locateByKey(ctx context.Context, r *request, key string) (runLocation, bool) {
	if key == "" {
		return runLocation{}, false
	}
	return s.locate(ctx, r.id, r.org)
}

// locate finds a run here or at a peer.
func (s *Server) locate(ctx context.Context, id string, org planner.Organisation) (runLocation, bool) {
	if existing, ok := s.runs.find(id); ok && existing.org.Name == org.Name {
		kind := existing.buffer.EndState().Kind
		if kind == replayer.Open || kind == replayer.Done {
			return runLocation{run: existing, digest: existing.digest, id: id}, true
		}
	}
	return s.locateAtPeer(ctx, id, org)
}

// startRun admits a run and starts its relay.
func (s *Server) startRun(ctx context.Context, r *request, who callerRequest) *judge.Refusal {
	if s.crashStatus(r.fingerprint) == isolator.Confirmed {
		r.transition("refuse")
		return judge.Refuse(judge.CodeCrashesUpstreams, judge.NotRun, "this request crashes the upstreams that run it")
	}
	now := s.now()
	if refusal := s.state.admit(ctx, now, r.org, r.route, now.Add(who.admissionTimeout(r.route))); refusal != nil {
		r.transition("refuse")
		return refusal
	}
	r.admitted = true
	r.transition("admit")
	existing, fresh := s.runs.addIfAbsent(r)
	if !fresh {
		s.state.release(s.now(), r.org, r.route, 0)
		return judge.Refuse(judge.CodeInProgress, judge.NotRun, "the same key is being answered; ask again to join it").WithRetryAfter(100 * time.Millisecond).WithRequestID(existing.id)
	}
	s.startRelay(r)
	return nil
}

// startRelay runs the relay of a run until its deadline.
func (s *Server) startRelay(r *request) {
	runCtx, cancel := s.detachedContext(r.deadline.Sub(s.now()))
	r.cancel = cancel
	go func() {
		defer cancel()
		s.relay(runCtx, r)
	}()
}

// resumeOffset returns the offset after the last event that a caller has.
func resumeOffset(c *gin.Context) int {
	last, err := strconv.Atoi(c.GetHeader(headerLastEventID))
	if err != nil || last < 0 {
		return 0
	}
	return last + 1
}

// serveJoin lets a caller that lost its connection read on.
func (s *Server) serveJoin(c *gin.Context) {
	who, refusal := s.authenticate(c.Request)
	if refusal != nil {
		s.writeRefusal(c, refusal)
		return
	}
	found, ok := s.locate(c.Request.Context(), c.Param("id"), who.org)
	if !ok {
		refusal := judge.Refuse(judge.CodeNotFound, judge.MayHaveRun, "no entry in reach has this request").WithRetryAfter(s.jitter(time.Second))
		s.writeRefusal(c, refusal)
		return
	}
	stream := strings.Contains(c.GetHeader("Accept"), "text/event-stream") || c.GetHeader(headerLastEventID) != ""
	s.join(c, found, who.org, stream, found.digest)
}

// join answers from a run that is there already.
func (s *Server) join(c *gin.Context, found runLocation, org planner.Organisation, stream bool, digest string) {
	if found.digest != digest {
		s.writeRefusal(c, judge.Refuse(judge.CodeKeyReuse, judge.NotRun, "the key belongs to another request"))
		return
	}
	s.metrics.Count("joins")
	if found.run != nil {
		s.send(c, &found.run.buffer, found.id, found.run.route.Name, resumeOffset(c), stream)
		return
	}
	from := 0
	if stream {
		from = resumeOffset(c)
	}
	var buffer replayer.Buffer
	ctx, cancel := context.WithCancel(c.Request.Context())
	defer cancel()
	go s.copyFromPeer(ctx, &buffer, found, org, from)
	s.sendFrom(c, buffer.Reader(0), from, found.id, "", stream)
}
