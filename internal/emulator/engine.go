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
	// crashMarker is the text in a request that makes an engine or a service call
	// its Crash function.
	crashMarker = "CRASH-ME"
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	Version         string
	Slots           int
	FirstTokenDelay time.Duration
	TokenInterval   time.Duration
	// Crash ends the process. It is called for a request that contains
	// crashMarker; nil ignores the marker.
	Crash func()
}

// UpstreamFaults are the faults of an Engine or a Service. They can be changed
// at run time.
type UpstreamFaults struct {
	// Fail responds with status 500.
	Fail bool `json:"fail"`
	// DelayMS is added to the time to the first token, or to the delay of a
	// service call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// Route limits Fail and DelayMS to one route.
	Route string `json:"route"`
	// AfterRequests is the number of first requests that are exempt from Fail and
	// DelayMS.
	AfterRequests int `json:"after_requests"`
	// OverRunning limits Fail and DelayMS to requests that start while more than
	// OverRunning requests run, the new one included.
	OverRunning int `json:"over_running"`
	// Refuse rejects requests with status 503 and the header that confirms that
	// they were not run.
	Refuse bool `json:"refuse"`
	// SilenceConnections silences the streams that are open when the fault is set:
	// they stay open and send nothing more.
	SilenceConnections bool `json:"silence_open"`
	// TruncateAfterTokens closes the connection of each stream after that many
	// tokens; 0 closes none.
	TruncateAfterTokens int `json:"truncate_after"`
	// Garbage sends a part that is not valid JSON.
	Garbage bool `json:"garbage"`
	// DuplicateParts sends each part twice.
	DuplicateParts bool `json:"double"`
	// WrongRequestID puts the ID of another request on the response.
	WrongRequestID bool `json:"cross"`
	// Endless continues a stream beyond its last token.
	Endless bool `json:"endless"`
	// DropResponse runs a service call and then closes the connection.
	DropResponse bool `json:"lose_answer"`
	// HoldResponse runs a service call and never responds.
	HoldResponse bool `json:"hold_answer"`
	// LeavingMS is reported as the time remaining before a reclaim, in
	// milliseconds.
	LeavingMS int64 `json:"leaving_ms"`
	// SayLeaving adds LeavingMS to the head of each response too.
	SayLeaving bool `json:"say_leaving"`
	// RetryAfterMS is the time that a refusal asks for, in milliseconds; 0 asks for none.
	RetryAfterMS int64 `json:"retry_after_ms"`
}

// Run is a journal record of one attempt that an upstream ran.
type Run struct {
	RequestID  string `json:"request_id"`
	Attempt    int    `json:"attempt"`
	Key        string `json:"key"`
	Route      string `json:"route"`
	ResumeFrom int    `json:"from"`
	Tokens     int    `json:"tokens"`
	Done       bool   `json:"done"`
	// RecomputedTokens is the number of prompt and response tokens that were
	// computed again to resume the request.
	RecomputedTokens int `json:"recomputed"`
}

// Load is the load report of an upstream.
type Load struct {
	Version   string `json:"version"`
	Running   int    `json:"running"`
	Slots     int    `json:"slots"`
	LeavingMS int64  `json:"leaving_ms"`
	// BootID is a new ID for each start of the upstream.
	BootID string `json:"boot"`
}

// Part is one server-sent event of a generated response: one token.
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

// Engine stands in for a model engine. Its tokens are a function of the
// request's messages, so that a test can check a response byte for byte with
// ResponseText.
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
	return e.signaling(mux)
}

// SetFaults replaces the faults.
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

// TokenText returns token i of the response to a request whose messages are
// given as JSON.
func TokenText(messages []byte, i int) string {
	return fmt.Sprintf("%08x ", uint32(xxhash.Sum64String(string(messages)+"#"+strconv.Itoa(i))))
}

// ResponseText returns the first n tokens of the response.
func ResponseText(messages []byte, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(TokenText(messages, i))
	}
	return b.String()
}

// matches reports whether Fail and DelayMS apply to a request, given the
// numbers of requests received and running.
func (f UpstreamFaults) matches(route string, requests, running int) bool {
	if f.Route != "" && f.Route != route {
		return false
	}
	return requests > f.AfterRequests && running > f.OverRunning
}

// silenceSignal returns the channel that is closed when SilenceConnections is set
// next.
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
		writeNotRun(w, r, f)
		return
	}
	if f.Fail {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	e.stream(w, r, req, f, silence)
}

// writeNotRun writes the response that confirms that the request was not run.
func writeNotRun(w http.ResponseWriter, r *http.Request, f UpstreamFaults) {
	for _, name := range []string{"X-Request-Id", "X-Attempt"} {
		w.Header().Set(name, r.Header.Get(name))
	}
	w.Header().Set("X-Not-Run", "1")
	if f.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(f.RetryAfterMS)/1000, 'f', 3, 64))
	}
	http.Error(w, "not run", http.StatusServiceUnavailable)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req completionRequest, f UpstreamFaults, silence chan struct{}) {
	attempt, _ := strconv.Atoi(r.Header.Get("X-Attempt"))
	from, _ := strconv.Atoi(r.Header.Get("X-Resume-From"))
	id := r.Header.Get("X-Request-Id")
	runIndex := e.journal.add(Run{RequestID: id, Attempt: attempt, Route: req.Model, ResumeFrom: from, RecomputedTokens: e.recomputedTokens(r, id, from, req)})
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
			e.generateSilently(r, runIndex, i, from, tokens)
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
		e.journal.setProgress(runIndex, i-from+1, part.Done)
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

// generateSilently generates the remaining tokens without sending them.
func (e *Engine) generateSilently(r *http.Request, runIndex, i, from, tokens int) {
	for ; i < tokens; i++ {
		if !sleep(r.Context(), e.cfg.TokenInterval) {
			return
		}
		e.journal.setProgress(runIndex, i-from+1, i == tokens-1)
	}
	<-r.Context().Done()
}

// bytesPerToken is the assumed mean length of a prompt token.
const bytesPerToken = 4

// recomputedTokens returns the number of tokens that a resumed request computes
// again: none with an imported KV cache, otherwise the prompt and the tokens
// that were sent before.
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
