package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/galenahitch/galenahitch/internal/pooler"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/resolver"
)

const (
	// heldBytes bounds an answer that is read whole before any of it goes to the
	// caller, so that a broken one can be asked for again.
	heldBytes = 256 << 10
	// readBytes is the size of one read from an upstream.
	readBytes = 4 << 10
)

// relayed is an answer on its way to the caller.
type relayed struct {
	answer *pooler.Answer
	reply  ResponseInfo
	sentAt time.Time
	watch  *watch
	// ease tells the choice of upstreams that the prompt has been read.
	ease func()
}

// relay passes an answer on. It returns nil once the caller has all of it.
func (g *Gateway) relay(ctx context.Context, w http.ResponseWriter, c *call, r *relayed) *failure {
	answer := r.answer
	if !r.reply.Sealed && (answer.Status < http.StatusMultipleChoices || promisesNotRun(answer.Status)) {
		return broken(ctx, judge.Errorf(judge.MayHaveRun, "the answer with status %d is not known to be the upstream's", answer.Status))
	}
	if answer.Status >= http.StatusInternalServerError && !c.answering && g.mayRepeat(c) {
		return &failure{verdict: judge.Ran, paid: true, cause: judge.Errorf(judge.Ran, "the upstream answered with status %d", answer.Status)}
	}
	if c.route.Kind == resolver.Streaming && answer.Status == http.StatusOK {
		return g.relayStream(ctx, w, c, r)
	}
	if c.answering {
		return broken(ctx, judge.Errorf(judge.Ran, "the stream was not resumed: status %d", answer.Status))
	}
	return g.relayWhole(ctx, w, c, r)
}

func broken(ctx context.Context, cause error) *failure {
	if ctx.Err() != nil {
		cause = judge.Wrap(judge.VerdictOf(cause), context.Cause(ctx), "relay")
	}
	return &failure{verdict: judge.MayHaveRun, cause: cause}
}

// relayWhole passes on an answer that is no stream. One that is not too large
// is read to its end first.
func (g *Gateway) relayWhole(ctx context.Context, w http.ResponseWriter, c *call, r *relayed) *failure {
	answer := r.answer
	held, err := io.ReadAll(io.LimitReader(answer, heldBytes))
	if err != nil {
		return broken(ctx, err)
	}
	g.began(c, r.sentAt)
	c.took = g.cfg.Now().Sub(r.sentAt)
	r.ease()
	g.cfg.Codec.CopyHeader(w.Header(), answer.Header)
	c.status = answer.Status
	c.answering = true
	w.WriteHeader(answer.Status)
	if _, err := w.Write(held); err != nil {
		return g.callerLost(c, err)
	}
	if len(held) == heldBytes {
		if _, err := io.Copy(w, answer); err != nil {
			return broken(ctx, err)
		}
	}
	g.well(c, answer.Status)
	return nil
}

// relayStream passes events on as they come, each only when it is whole, so
// that the stream can go on elsewhere after any of them.
func (g *Gateway) relayStream(ctx context.Context, w http.ResponseWriter, c *call, r *relayed) *failure {
	control := http.NewResponseController(w)
	var pending []byte
	chunk := make([]byte, readBytes)
	for {
		n, err := r.answer.Read(chunk)
		r.watch.progress()
		pending = append(pending, chunk[:n]...)
		whole, rest := splitEvents(pending)
		if err == io.EOF {
			whole, rest = pending, nil
		}
		if len(whole) > 0 {
			if lost := g.sendEvents(w, control, c, r, whole); lost != nil {
				return lost
			}
		}
		pending = append(pending[:0], rest...)
		if err == io.EOF {
			break
		}
		if err != nil {
			return broken(ctx, err)
		}
	}
	if !c.answering {
		g.startStream(w, c, r)
	}
	g.well(c, r.answer.Status)
	return nil
}

// sendEvents passes whole events on, except those that the caller has.
func (g *Gateway) sendEvents(w http.ResponseWriter, control *http.ResponseController, c *call, r *relayed, events []byte) *failure {
	if !c.answering {
		g.startStream(w, c, r)
	} else {
		r.ease()
	}
	events = c.unseen(events)
	if len(events) == 0 {
		return nil
	}
	if _, err := w.Write(events); err != nil {
		return g.callerLost(c, err)
	}
	if err := control.Flush(); err != nil {
		return g.callerLost(c, err)
	}
	return nil
}

// startStream sends the head of a stream with its first event.
func (g *Gateway) startStream(w http.ResponseWriter, c *call, r *relayed) {
	now := g.cfg.Now()
	c.first = now.Sub(c.arrived)
	g.measures.Observe("first_event_us", c.first.Microseconds())
	g.began(c, now)
	c.took = now.Sub(r.sentAt)
	g.heardFirst(c, now.Sub(r.sentAt))
	r.ease()
	g.cfg.Codec.CopyHeader(w.Header(), r.answer.Header)
	c.status = r.answer.Status
	c.answering = true
	w.WriteHeader(r.answer.Status)
}

func (g *Gateway) heardFirst(c *call, took time.Duration) {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.demandFor(c.deployment).first(c.ask.PromptTokens, c.met, took)
}

// began counts a call that an upstream has begun to run.
func (g *Gateway) began(c *call, at time.Time) {
	if c.begun || c.org == nil || g.cfg.UsageWindow <= 0 {
		return
	}
	c.begun = true
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.accountant.Began(g.state.trueTime(at), c.org.Name)
}

// well records an answer that was passed on whole.
func (g *Gateway) well(c *call, status int) {
	c.runs++
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.outcome(c, c.upstream, status >= http.StatusInternalServerError, c.took)
	if status < http.StatusInternalServerError {
		g.state.router.RecordSuccess(c.upstream.ID)
	} else {
		g.state.router.RecordFailure(g.cfg.Now(), c.upstream.ID)
	}
}

// callerLost ends a call whose caller can't be written to.
func (g *Gateway) callerLost(c *call, err error) *failure {
	c.gone = true
	return &failure{verdict: judge.Ran, cause: judge.Wrap(judge.Ran, errGone, "write to the caller: %v", err)}
}

// splitEvents cuts a stream after its last whole event.
func splitEvents(stream []byte) (whole, rest []byte) {
	end := 0
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if at := bytes.LastIndex(stream, blank); at >= 0 {
			end = max(end, at+len(blank))
		}
	}
	return stream[:end], stream[end:]
}
