package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	maxRequestBytes  = 1 << 20
	defaultMaxTokens = 16
	// crashMark in a request makes an engine or a service with the crash
	// fault die.
	crashMark = "CRASH-ME"
)

// EngineConfig describes one model engine.
type EngineConfig struct {
	Version    string
	Slots      int
	FirstToken time.Duration
	EachToken  time.Duration
	// Crash ends the process. Nil means that the mark is ignored.
	Crash func()
}

// EngineFaults are an engine's or a service's faults, switched at run time.
type EngineFaults struct {
	// Fail answers requests with status 500.
	Fail bool `json:"fail"`
	// DelayMS is added before the first token.
	DelayMS int64 `json:"delay_ms"`
	// Route limits Fail and DelayMS to one route.
	Route string `json:"route"`
	// AfterRequests starts Fail and DelayMS only after that many requests.
	AfterRequests int `json:"after_requests"`
	// OverRunning starts Fail and DelayMS only above that many at once.
	OverRunning int `json:"over_running"`
	// Refuse says by protocol that requests are not run.
	Refuse bool `json:"refuse"`
	// SilenceOpen makes the connections that are open now go silent.
	SilenceOpen bool `json:"silence_open"`
	// TruncateAfter cuts each stream after that many tokens.
	TruncateAfter int `json:"truncate_after"`
	// Garbage sends bytes that are no answer.
	Garbage bool `json:"garbage"`
	// Double sends each part twice.
	Double bool `json:"double"`
	// Cross answers with the parts of another request.
	Cross bool `json:"cross"`
	// Endless never ends a stream.
	Endless bool `json:"endless"`
	// LoseAnswer runs a service call and then closes the connection.
	LoseAnswer bool `json:"lose_answer"`
	// HoldAnswer runs a service call and never answers it.
	HoldAnswer bool `json:"hold_answer"`
	// LeavingMS is reported as the time left before a reclaim.
	LeavingMS int64 `json:"leaving_ms"`
}

// Run is one entry of an upstream's journal: what it really ran.
type Run struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Key       string `json:"key"`
	Route     string `json:"route"`
	From      int    `json:"from"`
	Tokens    int    `json:"tokens"`
	Done      bool   `json:"done"`
	// Recomputed counts the tokens of the prefix that were computed again.
	Recomputed int `json:"recomputed"`
}

// Load is what an upstream reports of itself.
type Load struct {
	Version   string `json:"version"`
	Running   int    `json:"running"`
	Slots     int    `json:"slots"`
	LeavingMS int64  `json:"leaving_ms"`
	// Boot differs after each start.
	Boot string `json:"boot"`
}

// Part is one server-sent event of a generated answer.
type Part struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Offset    int    `json:"offset"`
	Text      string `json:"text"`
	Done      bool   `json:"done"`
}

type generateRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
}

// Engine stands in for a model engine. Its text is a function of the request,
// so that a reader can check an answer byte for byte.
type Engine struct {
	cfg EngineConfig
	upstream
	silence chan struct{}
	caches  map[string]bool
}

// NewEngine returns an engine.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{cfg: cfg, upstream: newUpstream(cfg.Version, cfg.Slots), silence: make(chan struct{}), caches: map[string]bool{}}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.generate)
	mux.HandleFunc("GET /kv/{id}/{attempt}", e.exportKV)
	mux.HandleFunc("PUT /kv/{id}", e.importKV)
	e.mount(mux, e.SetFaults)
	return mux
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f EngineFaults) {
	e.upstream.SetFaults(f)
	if !f.SilenceOpen {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.silence)
	e.silence = make(chan struct{})
}

// Text returns token i of the answer to a request whose messages are given as
// JSON.
func Text(messages []byte, i int) string {
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64String(string(messages)+"#"+strconv.Itoa(i))))
}

// Answer returns the whole answer of n tokens.
func Answer(messages []byte, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Text(messages, i))
	}
	return b.String()
}

// hits reports whether the conditional faults apply to a request.
func (f EngineFaults) hits(route string, requests, running int) bool {
	if f.Route != "" && f.Route != route {
		return false
	}
	return requests > f.AfterRequests && running > f.OverRunning
}

// open returns the channel that is closed when the connections open now go
// silent.
func (e *Engine) open() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silence
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	var req generateRequest
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f, silence := e.begin(req.Model), e.open()
	defer e.end()
	if e.cfg.Crash != nil && strings.Contains(string(req.Messages), crashMark) {
		e.cfg.Crash()
		return
	}
	if f.Refuse {
		refuse(w)
		return
	}
	if f.Fail {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	e.stream(w, r, req, f, silence)
}

// refuse says by protocol that the request was not run.
func refuse(w http.ResponseWriter) {
	w.Header().Set("X-Not-Run", "1")
	http.Error(w, "not run", http.StatusServiceUnavailable)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req generateRequest, f EngineFaults, silence chan struct{}) {
	attempt, _ := strconv.Atoi(r.Header.Get("X-Attempt"))
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	id := r.Header.Get("X-Request-Id")
	at := e.journal.add(Run{RequestID: id, Attempt: attempt, Route: req.Model, From: from, Recomputed: e.recomputed(r, id, from, req)})
	tokens := req.MaxTokens
	if tokens <= 0 {
		tokens = defaultMaxTokens
	}
	flush := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Attempt", strconv.Itoa(attempt))
	e.mu.Lock()
	w.Header().Set("X-Running", strconv.Itoa(e.running))
	e.mu.Unlock()
	if !pause(r.Context(), e.cfg.FirstToken+time.Duration(f.DelayMS)*time.Millisecond) {
		return
	}
	if f.Garbage {
		_, _ = io.WriteString(w, "data: {]\n\n")
		return
	}
	for i := from; i < tokens || f.Endless; i++ {
		if isClosed(silence) {
			e.runSilently(r, at, i, from, tokens)
			return
		}
		if f.TruncateAfter > 0 && i-from >= f.TruncateAfter {
			panic(http.ErrAbortHandler)
		}
		part := Part{RequestID: id, Attempt: attempt, Offset: i, Text: Text(req.Messages, i), Done: i == tokens-1}
		if f.Cross {
			part.RequestID = "another-request"
		}
		writePart(w, part)
		if f.Double {
			writePart(w, part)
		}
		if flush.Flush() != nil {
			return
		}
		e.journal.progress(at, i-from+1, part.Done)
		if !part.Done && !pause(r.Context(), e.cfg.EachToken) {
			return
		}
	}
}

func writePart(w io.Writer, part Part) {
	data, _ := json.Marshal(part)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// runSilently goes on generating for a connection that carries nothing more.
func (e *Engine) runSilently(r *http.Request, at, i, from, tokens int) {
	for ; i < tokens; i++ {
		if !pause(r.Context(), e.cfg.EachToken) {
			return
		}
		e.journal.progress(at, i-from+1, i == tokens-1)
	}
	<-r.Context().Done()
}

// bytesPerToken is the assumed length of a token in a prompt.
const bytesPerToken = 4

// recomputed returns the tokens of a resumed request that are computed again.
func (e *Engine) recomputed(r *http.Request, id string, from int, req generateRequest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if from == 0 || r.Header.Get("X-Resume-Kv") != "" && e.caches[id] {
		return 0
	}
	return len(req.Messages)/bytesPerToken + from
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	attempt, _ := strconv.Atoi(r.PathValue("attempt"))
	run, ok := e.journal.find(r.PathValue("id"), attempt)
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, run)
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxRequestBytes))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.caches[r.PathValue("id")] = true
	w.WriteHeader(http.StatusOK)
}
