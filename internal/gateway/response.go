package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/galenahitch/galenahitch/internal/pooler"
	"github.com/galenahitch/galenahitch/internal/rationer"
	"github.com/galenahitch/galenahitch/internal/splitter"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/resolver"
)

const (
	// maxBufferedBytes limits how much of a response is read before any of it
	// is sent to the caller. If the response breaks off before that, the request
	// can be retried.
	maxBufferedBytes = 256 << 10
	// responseMemoryShare is the share of the process's memory that responses may hold
	// together: what is read ahead of them, long events and long heads.
	responseMemoryShare = 1.0 / 16
	// defaultMemory is that of a process of which it is not known.
	defaultMemory int64 = 256 << 20
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 64 << 10
	// readChunkBytes is the size of one read from an upstream.
	readChunkBytes = 4 << 10
)

// upstreamResponse is one attempt of a call and its response.
type upstreamResponse struct {
	g        *Gateway
	upstream Upstream
	ctx      context.Context
	cancel   context.CancelCauseFunc
	sentAt   time.Time
	// load is that of the prompt's prefill, zero when that has ended.
	load float64
	// response is nil until its head has arrived. body is its body.
	response *pooler.Response
	body     io.Reader
	info     ResponseInfo
	silence  *silenceWatch
	// movable is the stream, if its KV cache can be moved, nil otherwise.
	// registered reports that this was checked, after the first events.
	movable    *movableStream
	registered bool
}

// promptDone removes the load of the prompt's prefill from the router.
func (r *upstreamResponse) promptDone() {
	if r.load != 0 {
		r.g.adjustLoad(r.upstream.ID, -r.load)
		r.load = 0
	}
}

// close ends the attempt of a call, whose current one it is.
func (r *upstreamResponse) close(c *call) {
	if r.response != nil {
		r.response.Close()
	}
	r.cancel(nil)
	r.promptDone()
	r.g.endAttempt(c)
}

// awaitBeginning sends the request of an attempt and waits for the first bytes of the body
// of a response that can be forwarded.
func (g *Gateway) awaitBeginning(c *call, r *upstreamResponse) *failure {
	if f := g.send(c, r); f != nil {
		return f
	}
	if f := unusableResponse(r.ctx, c, r); f != nil {
		return f
	}
	if r.response.Status >= http.StatusInternalServerError {
		return &failure{verdict: judge.Ran, cause: judge.Errorf(judge.Ran, "the upstream answered with status %d", r.response.Status)}
	}
	first := make([]byte, readChunkBytes)
	n, err := r.response.Read(first)
	if err != nil && err != io.EOF {
		return truncatedResponse(r.ctx, r.response, err)
	}
	r.body = io.MultiReader(bytes.NewReader(first[:n]), r.response)
	return nil
}

// unusableResponse returns the failure of a response that can't be forwarded, or nil.
func unusableResponse(ctx context.Context, c *call, r *upstreamResponse) *failure {
	response := r.response
	if !r.info.Sealed && (response.Status < http.StatusMultipleChoices || promisesNotRun(response.Status)) {
		return brokenResponse(ctx, judge.Errorf(judge.MayHaveRun, "the answer with status %d is not known to be the upstream's", response.Status))
	}
	if c.responseStarted && !c.isStream(response) {
		return brokenResponse(ctx, judge.Errorf(judge.Ran, "the stream was not resumed: status %d, content type %q", response.Status, response.Header.Get("Content-Type")))
	}
	return nil
}

// isStream reports whether a response is a stream of events of the call's route.
func (c *call) isStream(response *pooler.Response) bool {
	return c.route.Kind == resolver.Streaming && response.Status == http.StatusOK && isEventStream(response.Header)
}

// forwardResponse forwards a response to the caller. It returns nil once the
// caller has all of it.
func (g *Gateway) forwardResponse(ctx context.Context, w http.ResponseWriter, c *call, r *upstreamResponse) *failure {
	if f := unusableResponse(ctx, c, r); f != nil {
		return f
	}
	if r.response.Status >= http.StatusInternalServerError && g.chargeRerun(c) {
		return &failure{verdict: judge.Ran, retryCharged: true, cause: judge.Errorf(judge.Ran, "the upstream answered with status %d", r.response.Status)}
	}
	if c.isStream(r.response) {
		return g.forwardStream(ctx, w, c, r)
	}
	return g.forwardWhole(ctx, w, c, r)
}

// isEventStream reports whether a response has the content type of a stream of events,
// or none.
func isEventStream(header http.Header) bool {
	contentType := header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(contentType)
	return contentType == "" || err == nil && mediaType == "text/event-stream"
}

// brokenResponse returns the failure of an attempt whose response is incomplete
// or can't be trusted. If ctx has ended, the cause of the failure is that of
// ctx.
func brokenResponse(ctx context.Context, cause error) *failure {
	if ctx.Err() != nil {
		cause = judge.Wrap(judge.VerdictOf(cause), context.Cause(ctx), "relay")
	}
	return &failure{verdict: judge.MayHaveRun, cause: cause}
}

// truncatedResponse returns the failure of an attempt whose response could not be read
// to its end, or whose content shows that it is faulty.
func truncatedResponse(ctx context.Context, response *pooler.Response, err error) *failure {
	f := brokenResponse(ctx, err)
	framed := response.Framing != pooler.FramingClose
	faulty := errors.Is(err, errPartialEvent) || errors.Is(err, errEventTooLarge) || errors.Is(err, errNoMemory) || errors.Is(err, errNotResumed) || pooler.IsTooLarge(err)
	f.connectionBroke = ctx.Err() == nil && !(faulty && framed)
	f.busy = errors.Is(err, errNoMemory)
	response.Distrust()
	return f
}

// forwardWhole forwards a response that is not a stream. Up to maxBufferedBytes
// of it are read before any are sent.
func (g *Gateway) forwardWhole(ctx context.Context, w http.ResponseWriter, c *call, r *upstreamResponse) *failure {
	var response io.Reader = watchedReader{body: r.body, silence: r.silence}
	if r.response.Status == http.StatusOK && r.response.Header.Get("Content-Type") != "" && isEventStream(r.response.Header) {
		response = &eventChecker{response: response, events: splitter.New()}
	}
	memory := g.responseMemory.Ration()
	defer memory.Release()
	buffered, whole, err := readAhead(response, memory, maxBufferedBytes)
	c.receivedBytes = int64(len(buffered))
	if err != nil {
		return truncatedResponse(ctx, r.response, err)
	}
	r.silence.stop()
	g.countUsage(c, r.sentAt)
	c.attemptLatency = g.cfg.Now().Sub(r.sentAt)
	r.promptDone()
	g.cfg.Codec.CopyHeader(w.Header(), r.response.Header)
	c.status = r.response.Status
	c.responseStarted, c.notResumable = true, true
	w.WriteHeader(r.response.Status)
	if _, err := w.Write(buffered); err != nil {
		return g.callerWriteFailed(c, err)
	}
	if !whole {
		buffered = nil
		memory.Release()
		n, err := io.Copy(w, response)
		c.receivedBytes += n
		if err != nil {
			return truncatedResponse(ctx, r.response, err)
		}
	}
	g.recordResponse(c, r.response.Status)
	return nil
}

// readAhead reads up to limit bytes of a body, or as much as memory is left for. It
// reports whether that is all of it.
func readAhead(body io.Reader, memory *rationer.Ration, limit int) (read []byte, whole bool, err error) {
	read = make([]byte, 0, readChunkBytes)
	for len(read) < limit {
		if len(read) == cap(read) {
			if !memory.Grow(2 * cap(read)) {
				return read, false, nil
			}
			read = append(make([]byte, 0, 2*cap(read)), read...)
		}
		n, err := body.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
		if err == io.EOF {
			return read, true, nil
		}
		if err != nil {
			return read, false, err
		}
	}
	return read, false, nil
}

var (
	errPartialEvent  = judge.Errorf(judge.MayHaveRun, "the stream ended inside an event")
	errEmptyStream   = judge.Errorf(judge.MayHaveRun, "the connection ended before the first byte of the stream")
	errNotResumed    = judge.Errorf(judge.MayHaveRun, "the stream goes on with an event without an id")
	errNoMemory      = judge.Errorf(judge.MayHaveRun, "the responses hold too much memory")
	errEventTooLarge = judge.Errorf(judge.MayHaveRun, "an event of the stream is larger than %d bytes", maxEventBytes)
)

// eventChecker reads a stream of events. Its end is an error if it is inside an event.
type eventChecker struct {
	response io.Reader
	events   *splitter.Splitter
}

// Read reads bytes of the stream.
func (c *eventChecker) Read(b []byte) (int, error) {
	n, err := c.response.Read(b)
	c.events.Write(b[:n])
	for range c.events.Events() {
	}
	if err == io.EOF {
		if _, ended := c.events.End(); !ended {
			return n, errPartialEvent
		}
	}
	if c.events.Pending() > maxEventBytes {
		return n, errEventTooLarge
	}
	return n, err
}

// forwardStream forwards the events of a stream as they arrive. It sends
// complete events only, so that another upstream can resume the stream after
// any of them.
func (g *Gateway) forwardStream(ctx context.Context, w http.ResponseWriter, c *call, r *upstreamResponse) *failure {
	controller := http.NewResponseController(w)
	events := splitter.New()
	chunk := make([]byte, readChunkBytes)
	body := watchedReader{body: r.body, silence: r.silence}
	pending := pendingMemory{ration: g.responseMemory.Ration()}
	defer pending.ration.Release()
	for {
		n, err := body.Read(chunk)
		c.receivedBytes += int64(n)
		events.Write(chunk[:n])
		toSend, eventErr := c.newEvents(events.Events())
		c.partialEventBytes = events.Pending()
		switch {
		case eventErr != nil:
			err = eventErr
		case err == io.EOF:
			rest, ended := events.End()
			switch {
			case !ended:
				err = errPartialEvent
			case c.receivedBytes == 0 && r.response.Framing == pooler.FramingClose && c.request.Method != http.MethodHead:
				err = errEmptyStream
			default:
				toSend = append(toSend, rest...)
			}
		}
		if f := g.sendEvents(w, controller, c, r, toSend); f != nil {
			return f
		}
		if len(toSend) > 0 {
			g.updateMovable(c, r)
		}
		switch {
		case err == io.EOF:
			if !c.responseStarted {
				g.startStream(w, c, r)
			}
			g.recordResponse(c, r.response.Status)
			r.movable.finish()
			return nil
		case err != nil:
			return truncatedResponse(ctx, r.response, err)
		case c.partialEventBytes > maxEventBytes:
			return truncatedResponse(ctx, r.response, errEventTooLarge)
		case !pending.hold(c.partialEventBytes):
			return truncatedResponse(ctx, r.response, errNoMemory)
		}
	}
}

// pendingMemory is the memory of the incomplete event of one stream.
type pendingMemory struct {
	ration *rationer.Ration
	// held is the size of the event that the ration suffices for, without readChunkBytes.
	held int
}

// hold takes memory for an event of some bytes. It returns false if there is too little.
func (m *pendingMemory) hold(bytes int) bool {
	if bytes <= readChunkBytes {
		if m.held > 0 {
			m.ration.Release()
			m.held = 0
		}
		return true
	}
	for bytes > m.held+readChunkBytes {
		// The buffer of an event may have twice its size.
		if !m.ration.Grow(2 * readChunkBytes) {
			return false
		}
		m.held += readChunkBytes
	}
	return true
}

// sendEvents sends events to the caller, if there are any. The response starts with the
// first event that arrives, also if the caller already has it.
func (g *Gateway) sendEvents(w http.ResponseWriter, controller *http.ResponseController, c *call, r *upstreamResponse, events []byte) *failure {
	arrived := len(events) > 0 || c.receivedBytes > int64(c.partialEventBytes)
	switch {
	case arrived && c.responseStarted:
		r.promptDone()
	case arrived:
		g.startStream(w, c, r)
	}
	if len(events) == 0 {
		return nil
	}
	now := g.cfg.Now()
	if c.pauses.Observe(now) {
		g.recordPause(c)
	}
	g.recordEvent(now, c)
	g.recordProgress(now, c)
	if _, err := w.Write(events); err != nil {
		return g.callerWriteFailed(c, err)
	}
	if err := controller.Flush(); err != nil {
		return g.callerWriteFailed(c, err)
	}
	if g.cfg.Now().Sub(now) > maxWriteTime {
		c.lastEventAt = time.Time{}
	}
	return nil
}

// startStream sends the header of a stream response when its first event has
// arrived.
func (g *Gateway) startStream(w http.ResponseWriter, c *call, r *upstreamResponse) {
	now := g.cfg.Now()
	c.timeToFirstEvent = now.Sub(c.arrived)
	g.metrics.Observe("first_event_us", c.timeToFirstEvent.Microseconds())
	g.countUsage(c, now)
	c.attemptLatency = now.Sub(r.sentAt)
	g.recordFirstEvent(c, now.Sub(r.sentAt))
	r.promptDone()
	g.cfg.Codec.CopyHeader(w.Header(), r.response.Header)
	// A stream that another upstream resumes may have another length.
	w.Header().Del("Content-Length")
	c.status = r.response.Status
	c.responseStarted = true
	w.WriteHeader(r.response.Status)
}

// recordFirstEvent updates the measured prefill speed with the time to the first
// event.
func (g *Gateway) recordFirstEvent(c *call, latency time.Duration) {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.demandFor(c.deployment).addFirstEvent(c.request.PromptTokens, c.loadAtStart, latency)
	if g.state.predicts(c) {
		g.state.predictor.RecordFirstEvent(g.cfg.Now(), c.upstream.ID, c.predictorLoad(), c.predictorRequest(), latency)
	}
}

// recordPause records the typical pause of the current attempt's stream, if it has enough
// pauses.
func (g *Gateway) recordPause(c *call) {
	pause, ok := c.pauses.Typical()
	if !ok {
		return
	}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.recordPause(c, c.upstream, pause)
}

// countUsage counts the call in its organisation's usage, once.
func (g *Gateway) countUsage(c *call, at time.Time) {
	if c.usageCounted || c.org == nil || g.cfg.UsageWindow <= 0 {
		return
	}
	c.usageCounted = true
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.accountant.CountStart(g.state.agreedTime(at), c.org.Name)
}

// recordResponse records a response that was forwarded completely.
func (g *Gateway) recordResponse(c *call, status int) {
	c.runs++
	if !c.pauses.Complete() {
		g.recordPause(c)
	}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	now := g.cfg.Now()
	if c.framing == pooler.FramingClose {
		g.awaitProof(now, c)
	} else {
		g.state.recordEnd(now, c)
	}
	g.state.recordOutcome(c, c.upstream, status >= http.StatusInternalServerError, c.attemptLatency)
	if !c.hasEvents && status < http.StatusMultipleChoices && g.state.predicts(c) {
		g.state.predictor.RecordEnd(now, c.upstream.ID, c.predictorLoad(), c.predictorRequest(), c.attemptLatency)
	}
	if status < http.StatusInternalServerError {
		g.state.router.RecordSuccess(c.upstream.ID)
	} else {
		g.state.router.RecordFailure(now, c.upstream.ID)
	}
}

// callerWriteFailed marks the caller as disconnected and returns the failure of
// a call whose response can't be written to the caller.
func (g *Gateway) callerWriteFailed(c *call, err error) *failure {
	c.disconnected = true
	return &failure{verdict: judge.Ran, cause: judge.Wrap(judge.Ran, errDisconnected, "write to the caller: %v", err)}
}
