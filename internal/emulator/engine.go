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
	// crashMarker in a request makes an engine or a service with the crash
	// fault die.
	crashMarker = "CRASH-ME"
)

// EngineConfig describes one model engine.
type EngineConfig struct {
	Version         string
	Slots           int
	FirstTokenDelay time.Duration
	TokenInterval   time.Duration
	// Crash ends the process. Nil means that the mark is ignored.
	Crash func()
}

// UpstreamFaults are an engine's or a service's faults, switched at run time.
type UpstreamFaults struct {
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
	// SilenceConnections makes the connections that are open now go silent.
	SilenceConnections bool `json:"silence_open"`
	// TruncateAfterTokens cuts each stream after that many tokens.
	TruncateAfterTokens int `json:"truncate_after"`
	// Garbage sends bytes that are no answer.
	Garbage bool `json:"garbage"`
	// DuplicateParts sends each part twice.
	DuplicateParts bool `json:"double"`
	// WrongRequestID answers with the parts of another request.
	WrongRequestID bool `json:"cross"`
	// Endless never ends a stream.
	Endless bool `json:"endless"`
	// DropResponse runs a service call and then closes the connection.
	DropResponse bool `json:"lose_answer"`
	// HoldResponse runs a service call and never answers it.
	HoldResponse bool `json:"hold_answer"`
	// LeavingMS is reported as the time left before a reclaim.
	LeavingMS int64 `json:"leaving_ms"`
}

// Run is one entry of an upstream's journal: what it really ran.
type Run struct {
	RequestID  string `json:"request_id"`
	Attempt    int    `json:"attempt"`
	Key        string `json:"key"`
	Route      string `json:"route"`
	ResumeFrom int    `json:"from"`
	Tokens     int    `json:"tokens"`
	Done       bool   `json:"done"`
	// RecomputedTokens counts the tokens of the prefix that were computed again.
	RecomputedTokens int `json:"recomputed"`
}

// Load is what an upstream reports of itself.
type Load struct {
	Version   string `json:"version"`
	Running   int    `json:"running"`
	Slots     int    `json:"slots"`
	LeavingMS int64  `json:"leaving_ms"`
	// BootID differs after each start.
	BootID string `json:"boot"`
}

// Part is one server-sent event of a generated answer.
type Part struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Offset    int    `json:"offset"`
	Text      string `json:"text"`
	Done      bool   `json:"done"`
}

type completionRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
}

// Engine stands in for a model engine. Its text is a function of the request,
// so that a reader can check an answer byte for byte.
type Engine struct {
	cfg EngineConfig
	upstream
	silence        chan struct{}
	importedCaches map[string]bool
}

// NewEngine returns an engine.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{cfg: cfg, upstream: newUpstream(cfg.Version, cfg.Slots), silence: make(chan struct{}), importedCaches: map[string]bool{}}
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
func (e *Engine) SetFaults(f UpstreamFaults) {
	e.upstream.SetFaults(f)
	if !f.SilenceConnections {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.silence)
	e.silence = make(chan struct{})
}

// TokenText returns token i of the answer to a request whose messages are given as
// JSON.
func TokenText(messages []byte, i int) string {
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64String(string(messages)+"#"+strconv.Itoa(i))))
}

// ResponseText returns the whole answer of n tokens.
func ResponseText(messages []byte, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(TokenText(messages, i))
	}
	return b.String()
}

// matches reports whether the conditional faults apply to a request.
func (f UpstreamFaults) matches(route string, requests, running int) bool {
	if f.Route != "" && f.Route != route {
		return false
	}
	return requests > f.AfterRequests && running > f.OverRunning
}

// silenceSignal returns the channel that is closed when the connections silenceSignal now go
// silent.
func (e *Engine) silenceSignal() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silence
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return
	}
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f, silence := e.begin(req.Model), e.silenceSignal()
	defer e.end()
	if e.cfg.Crash != nil && strings.Contains(string(req.Messages), crashMarker) {
		e.cfg.Crash()
		return
	}
	if f.Refuse {
		writeNotRun(w)
		return
	}
	if f.Fail {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	e.stream(w, r, req, f, silence)
}

// writeNotRun says by protocol that the request was not run.
func writeNotRun(w http.ResponseWriter) {
	w.Header().Set("X-Not-Run", "1")
	http.Error(w, "not run", http.StatusServiceUnavailable)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req completionRequest, f UpstreamFaults, silence chan struct{}) {
	attempt, _ := strconv.Atoi(r.Header.Get("X-Attempt"))
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	id := r.Header.Get("X-Request-Id")
	at := e.journal.add(Run{RequestID: id, Attempt: attempt, Route: req.Model, ResumeFrom: from, RecomputedTokens: e.recomputedTokens(r, id, from, req)})
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
	if !sleep(r.Context(), e.cfg.FirstTokenDelay+time.Duration(f.DelayMS)*time.Millisecond) {
		return
	}
	if f.Garbage {
		_, _ = io.WriteString(w, "data: {]\n\n")
		return
	}
	for i := from; i < tokens || f.Endless; i++ {
		if isClosed(silence) {
			e.generateSilently(r, at, i, from, tokens)
			return
		}
		if f.TruncateAfterTokens > 0 && i-from >= f.TruncateAfterTokens {
			panic(http.ErrAbortHandler)
		}
		part := Part{RequestID: id, Attempt: attempt, Offset: i, Text: TokenText(req.Messages, i), Done: i == tokens-1}
		if f.WrongRequestID {
			part.RequestID = "another-request"
		}
		writePart(w, part)
		if f.DuplicateParts {
			writePart(w, part)
		}
		if flush.Flush() != nil {
			return
		}
		e.journal.setProgress(at, i-from+1, part.Done)
		if !part.Done && !sleep(r.Context(), e.cfg.TokenInterval) {
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

// generateSilently goes on generating for a connection that carries nothing more.
func (e *Engine) generateSilently(r *http.Request, at, i, from, tokens int) {
	for ; i < tokens; i++ {
		if !sleep(r.Context(), e.cfg.TokenInterval) {
			return
		}
		e.journal.setProgress(at, i-from+1, i == tokens-1)
	}
	<-r.Context().Done()
}

// bytesPerToken is the assumed length of a token in a prompt.
const bytesPerToken = 4

// recomputedTokens returns the tokens of a resumed request that are computed again.
func (e *Engine) recomputedTokens(r *http.Request, id string, from int, req completionRequest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if from == 0 || r.Header.Get("X-Resume-Kv") != "" && e.importedCaches[id] {
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
	e.importedCaches[r.PathValue("id")] = true
	w.WriteHeader(http.StatusOK)
}
