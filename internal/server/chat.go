package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
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

type chatChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
}

type chatChoice struct {
	Index        int       `json:"index"`
	Delta        *chatText `json:"delta,omitempty"`
	Message      *chatText `json:"message,omitempty"`
	FinishReason *string   `json:"finish_reason"`
}

type chatText struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// prefixBytes is how much of a conversation's beginning makes its prefix.
const prefixBytes = 256

// prefixOf hashes the beginning of a conversation; requests that share it
// share an engine's cache.
func prefixOf(r *request) uint64 {
	at := max(0, bytes.Index(r.body, []byte(`"messages"`)))
	return xxhash.Sum64(r.body[at:min(len(r.body), at+prefixBytes)]) | 1
}

func (s *Server) serveChat(c *gin.Context) {
	who, refusal := s.receive(c)
	if refusal != nil {
		s.reply(c, refusal)
		return
	}
	req, route, refusal := parseChat(who)
	if refusal != nil {
		s.reply(c, refusal)
		return
	}
	r := s.newRun(who, req, route)
	if existing, ok := s.known(c.Request.Context(), r, who.key); ok {
		s.join(c, existing, who.org, req.Stream, r.digest)
		return
	}
	if refusal := s.startRun(c.Request.Context(), r, who); refusal != nil {
		refusal.RequestID = r.id
		s.reply(c, refusal)
		return
	}
	s.send(c, &r.buffer, r.id, route.Name, resumeOffset(c), req.Stream)
}

func parseChat(who caller) (chatRequest, planner.Route, *judge.Refusal) {
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
		req.MaxTokens = defaultTokens
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

func (s *Server) newRun(who caller, req chatRequest, route planner.Route) *request {
	now := s.now()
	r := &request{
		id:          who.id,
		org:         who.org,
		route:       route,
		digest:      claimer.Digest([]byte(route.Name), who.body),
		body:        who.body,
		maxTokens:   req.MaxTokens,
		fingerprint: isolator.Sum(who.org.Name, route.Name, who.body),
		started:     now,
		deadline:    now.Add(who.within(route)),
		state:       charter.Request().Initial(),
		relayed:     make(chan struct{}),
	}
	if who.key != "" {
		r.id = keyedID(who.org, who.key)
	}
	return r
}

// located is a run of this entry or of a peer.
type located struct {
	run    *request
	peer   string
	digest string
	id     string
}

// known finds a run that was started under the same key.
func (s *Server) known(ctx context.Context, r *request, key string) (located, bool) {
	if key == "" {
		return located{}, false
	}
	return s.locate(ctx, r.id, r.org)
}

// locate finds a run here or at a peer.
func (s *Server) locate(ctx context.Context, id string, org planner.Organisation) (located, bool) {
	if existing, ok := s.runs.find(id); ok && existing.org.Name == org.Name {
		kind := existing.buffer.Ended().Kind
		if kind == replayer.Open || kind == replayer.Done {
			return located{run: existing, digest: existing.digest, id: id}, true
		}
	}
	return s.locateAtPeer(ctx, id, org)
}

// startRun admits a run and starts its relay.
func (s *Server) startRun(ctx context.Context, r *request, who caller) *judge.Refusal {
	if s.standing(r.fingerprint) == isolator.Convicted {
		r.step("refuse")
		return judge.Refuse(judge.CodeConvicted, judge.NotRun, "this request crashes the upstreams that run it")
	}
	now := s.now()
	if refusal := s.state.admit(ctx, now, r.org, r.route, now.Add(who.admitWithin(r.route))); refusal != nil {
		r.step("refuse")
		return refusal
	}
	r.admitted = true
	r.step("admit")
	existing, fresh := s.runs.start(r)
	if !fresh {
		s.state.release(s.now(), r.org, r.route, 0)
		return judge.Refuse(judge.CodeInProgress, judge.NotRun, "the same key is being answered; ask again to join it").After(100 * time.Millisecond).For(existing.id)
	}
	s.launch(r)
	return nil
}

// launch runs the relay of a run until its deadline.
func (s *Server) launch(r *request) {
	runCtx, cancel := s.detached(r.deadline.Sub(s.now()))
	r.cancel = cancel
	go func() {
		defer cancel()
		s.relay(runCtx, r)
	}()
}

// resumeOffset returns the offset after the last event that a caller has.
func resumeOffset(c *gin.Context) int {
	last, err := strconv.Atoi(c.GetHeader(headerLastEvent))
	if err != nil || last < 0 {
		return 0
	}
	return last + 1
}

// serveJoin lets a caller that lost its connection read on.
func (s *Server) serveJoin(c *gin.Context) {
	who, refusal := s.authenticate(c.Request)
	if refusal != nil {
		s.reply(c, refusal)
		return
	}
	found, ok := s.locate(c.Request.Context(), c.Param("id"), who.org)
	if !ok {
		refusal := judge.Refuse(judge.CodeNotFound, judge.MayHaveRun, "no entry in reach has this request").After(s.jitter(time.Second))
		s.reply(c, refusal)
		return
	}
	stream := strings.Contains(c.GetHeader("Accept"), "text/event-stream") || c.GetHeader(headerLastEvent) != ""
	s.join(c, found, who.org, stream, found.digest)
}

// join answers from a run that is there already.
func (s *Server) join(c *gin.Context, found located, org planner.Organisation, stream bool, digest string) {
	if found.digest != digest {
		s.reply(c, judge.Refuse(judge.CodeKeyReuse, judge.NotRun, "the key belongs to another request"))
		return
	}
	s.metrics.count("joins")
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
	go s.pull(ctx, &buffer, found, org, from)
	s.sendFrom(c, buffer.Reader(0), from, found.id, "", stream)
}

func (s *Server) send(c *gin.Context, buffer *replayer.Buffer, id, model string, from int, stream bool) {
	if !stream {
		from = 0
	}
	s.sendFrom(c, buffer.Reader(from), 0, id, model, stream)
}

// sendFrom writes an answer to its caller; shift is added to the reader's
// offsets.
func (s *Server) sendFrom(c *gin.Context, reader *replayer.Reader, shift int, id, model string, stream bool) {
	defer reader.Close()
	c.Header(headerRequestID, id)
	if stream {
		s.sendStream(c, reader, shift, id, model)
		return
	}
	s.sendWhole(c, reader, id, model)
}

func (s *Server) sendWhole(c *gin.Context, reader *replayer.Reader, id, model string) {
	var text strings.Builder
	for {
		part, end, err := reader.Next(c.Request.Context())
		if err != nil {
			return
		}
		if part != "" {
			text.WriteString(part)
			continue
		}
		switch end.Kind {
		case replayer.Done:
			finish := "stop"
			c.Header(headerVerdict, string(judge.Ran))
			c.JSON(http.StatusOK, chatChunk{ID: id, Object: "chat.completion", Model: model, Choices: []chatChoice{{
				Message: &chatText{Role: "assistant", Content: text.String()}, FinishReason: &finish,
			}}})
		case replayer.Refused:
			s.reply(c, end.Refusal.For(id))
		default:
			s.reply(c, judge.Refuse(judge.CodeLeaving, judge.MayHaveRun, "the request moved to another entry; ask for it by its id").After(100*time.Millisecond).For(id))
		}
		return
	}
}

func (s *Server) sendStream(c *gin.Context, reader *replayer.Reader, shift int, id, model string) {
	writer := eventWriter{c: c, s: s, id: id, model: model}
	for {
		offset := reader.Offset() + shift
		part, end, err := reader.Next(c.Request.Context())
		if err != nil {
			return
		}
		if part != "" {
			if writer.part(offset, part) != nil {
				return
			}
			continue
		}
		switch end.Kind {
		case replayer.Done:
			writer.done(offset)
		case replayer.Refused:
			writer.refused(end.Refusal)
		default:
			writer.moved()
		}
		return
	}
}

// eventWriter writes an answer as server-sent events.
type eventWriter struct {
	c       *gin.Context
	s       *Server
	id      string
	model   string
	started bool
}

func (w *eventWriter) start() {
	if w.started {
		return
	}
	w.started = true
	w.c.Header("Content-Type", "text/event-stream")
	w.c.Header("Cache-Control", "no-store")
	w.c.Status(http.StatusOK)
}

func (w *eventWriter) write(format string, args ...any) error {
	w.start()
	slowly(w.c, w.s.now())
	if _, err := fmt.Fprintf(w.c.Writer, format, args...); err != nil {
		return err
	}
	return http.NewResponseController(w.c.Writer).Flush()
}

func (w *eventWriter) chunk(delta string, finish *string) string {
	data, _ := json.Marshal(chatChunk{ID: w.id, Object: "chat.completion.chunk", Model: w.model, Choices: []chatChoice{{
		Delta: &chatText{Content: delta}, FinishReason: finish,
	}}})
	return string(data)
}

func (w *eventWriter) part(offset int, text string) error {
	return w.write("id: %d\ndata: %s\n\n", offset, w.chunk(text, nil))
}

func (w *eventWriter) done(offset int) {
	finish := "stop"
	_ = w.write("id: %d\ndata: %s\n\ndata: [DONE]\n\n", offset, w.chunk("", &finish))
}

// refused ends a stream with a refusal: as a plain answer if nothing was
// written, as an event otherwise.
func (w *eventWriter) refused(refusal *judge.Refusal) {
	if !w.started {
		w.s.reply(w.c, refusal.For(w.id))
		return
	}
	data, _ := json.Marshal(refusal.For(w.id))
	_ = w.write("event: error\ndata: %s\n\n", data)
}

// moved tells the caller that another entry has the request: it reconnects
// with the id of the last event.
func (w *eventWriter) moved() {
	_ = w.write("event: moved\nretry: 100\ndata: {\"request_id\":%q}\n\n", w.id)
}
