package gateway

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/galenahitch/galenahitch/pkg/reclaimer"
	"github.com/galenahitch/galenahitch/pkg/resolver"
)

const (
	// fallbackPause is the pause between two events if neither the stream nor its route
	// has one.
	fallbackPause = 100 * time.Millisecond
	// crossDomainTransfer is how much longer a transfer between failure domains takes.
	crossDomainTransfer = 2
	// sourceCloseTime is how long a run that has stopped may take to close its stream. A
	// run must not go on elsewhere while the source may still work on it for longer.
	sourceCloseTime = 400 * time.Millisecond
	// unknownTimeLeft is that of a stream whose length is not known.
	unknownTimeLeft = time.Hour
)

// errMoved is the cause of a canceled attempt whose run has stopped and goes on elsewhere.
var errMoved = errors.New("the run has stopped and its KV cache was moved")

// movableStream is a running stream whose KV cache can be moved.
type movableStream struct {
	g          *Gateway
	requestID  string
	deployment string
	domains    map[string]bool
	upstream   Upstream
	resumable  bool
	priority   int
	prompt     int
	// expected and maxTokens are the expected and the largest number of response tokens.
	expected  int
	maxTokens int
	engine    *resolver.Engine
	cancel    context.CancelCauseFunc
	// paceKnown reports that pause is final. Only the call's goroutine uses it and writes
	// pause.
	paceKnown bool

	mu     sync.Mutex
	events int
	pause  time.Duration
	// decided is the action that is logged. tried reports that the move was tried.
	decided reclaimer.Action
	tried   bool
	// ended reports that the attempt has ended and that nothing waits for moved.
	ended bool
	// stopping is closed when the call that stops the run has returned, nil before it.
	stopping chan struct{}
	moved    *movedRun
}

// movable registers the stream of an attempt, after its first event, if its KV cache can be
// moved. The result may be nil, which all methods allow.
func (g *Gateway) movable(c *call, r *upstreamResponse) *movableStream {
	if g.cfg.CacheMover == nil || !c.upstream.Reclaimable || c.isSuspect {
		return nil
	}
	if c.moved != nil && c.moved.source.ID == c.upstream.ID {
		// Each further stop would delay a run whose copy was refused before.
		return nil
	}
	d, ok := c.resolver.Deployment(c.deployment)
	if _, err := strconv.Atoi(c.lastEventID); !ok || err != nil || d.Engine == nil || !d.Engine.CanMoveKV || d.Engine.KVBytesPerToken <= 0 || d.Engine.LinkMbps <= 0 {
		return nil
	}
	m := &movableStream{
		g: g, requestID: c.request.ID, deployment: c.deployment, domains: c.domains, upstream: c.upstream, resumable: c.route.Retryable(),
		priority: c.route.Priority, prompt: c.request.PromptTokens, expected: c.request.ExpectedTokens, maxTokens: c.request.MaxResponseTokens, engine: d.Engine, cancel: r.cancel,
	}
	if c.org != nil && c.org.Priority != nil {
		m.priority = *c.org.Priority
	}
	m.update(c)
	h := g.handovers
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.streams[m.upstream.ID] == nil {
		h.streams[m.upstream.ID] = map[*movableStream]bool{}
	}
	for other := range h.streams[m.upstream.ID] {
		if other.requestID == m.requestID {
			// The ID does not tell the upstream which of the runs to move.
			other.mu.Lock()
			other.tried, m.tried = true, true
			other.mu.Unlock()
		}
	}
	h.streams[m.upstream.ID][m] = true
	g.startHandover(g.cfg.Now(), m.upstream.ID)
	return m
}

// updateMovable records the events that a caller has. After the first ones it registers the
// stream, if its KV cache can be moved.
func (g *Gateway) updateMovable(c *call, r *upstreamResponse) {
	if r.movable == nil && !r.registered {
		r.registered = true
		r.movable = g.movable(c, r)
	}
	r.movable.update(c)
}

// update records the events that the caller has.
func (m *movableStream) update(c *call) {
	if m == nil {
		return
	}
	pause := m.pause
	if !m.paceKnown {
		pause, m.paceKnown = c.route.TargetGap, c.pauses.Complete()
		if typical, ok := c.pauses.Typical(); ok {
			pause = typical
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if events, err := strconv.Atoi(c.lastEventID); err == nil {
		m.events = events
	}
	m.pause = pause
}

// unregister removes the stream from those that can be moved.
func (m *movableStream) unregister() {
	h := m.g.handovers
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.streams[m.upstream.ID], m)
	if len(h.streams[m.upstream.ID]) == 0 {
		delete(h.streams, m.upstream.ID)
	}
}

// finish ends the stream, whose caller has all of it.
func (m *movableStream) finish() {
	if m == nil {
		return
	}
	m.unregister()
	m.mu.Lock()
	events := m.events
	m.mu.Unlock()
	if events > 0 && m.expected > 0 {
		m.g.handovers.recordLength(m.deployment, float64(m.expected)/float64(events))
	}
	m.abandon()
}

// abandon ends the stream without a run that goes on elsewhere.
func (m *movableStream) abandon() {
	m.mu.Lock()
	m.ended = true
	moved := m.moved
	m.moved = nil
	m.mu.Unlock()
	if moved != nil {
		go m.g.freeCopy(m.requestID, *moved)
	}
}

// await ends the stream, whose attempt has failed, and returns the run that goes on
// elsewhere, or nil. If the run is being stopped, it waits for that.
func (m *movableStream) await(ctx context.Context, c *call) *movedRun {
	if m == nil {
		return nil
	}
	m.unregister()
	m.mu.Lock()
	stopping := m.stopping
	if stopping == nil {
		m.ended = true
	}
	m.mu.Unlock()
	if stopping == nil {
		return nil
	}
	if !c.disconnected {
		select {
		case <-stopping:
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil || c.disconnected || c.notResumable {
		m.abandon()
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	return m.moved
}

// describe returns what the decision about the stream depends on, and false if there is
// nothing to decide.
func (m *movableStream) describe(eventTokens float64) (reclaimer.Stream, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	eventTokens = max(1, eventTokens)
	sent := int(float64(m.events) * eventTokens)
	pause := m.pause
	if pause <= 0 {
		pause = fallbackPause
	}
	left := float64(m.expected-sent) / eventTokens
	if left < 1 {
		left = float64(m.maxTokens-sent) / eventTokens
	}
	timeLeft := time.Duration(max(1, left) * float64(pause))
	if m.maxTokens == 0 {
		timeLeft = unknownTimeLeft
	}
	return reclaimer.Stream{
		RequestID: m.requestID, Urgency: -m.priority, PromptTokens: m.prompt, SentTokens: sent, Value: float64(m.prompt + sent),
		NotResumable: !m.resumable, TimeLeft: timeLeft,
	}, !m.ended && !m.tried
}

// transferTime returns the time to transfer the KV cache of some tokens, without a queue.
func (m *movableStream) transferTime(tokens int, target Upstream) time.Duration {
	bits := 8 * float64(m.engine.KVBytesPerToken) * float64(max(1, tokens))
	if target.FailureDomain != m.upstream.FailureDomain {
		bits *= crossDomainTransfer
	}
	return time.Duration(max(1, bits/(m.engine.LinkMbps*1e6)*float64(time.Second)))
}

// logDecision logs the first decision about the stream, and a later one to move it.
func (m *movableStream) logDecision(action reclaimer.Action, notice time.Duration, eventTokens float64, target Upstream) {
	s, _ := m.describe(eventTokens)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.decided == action || m.decided != "" && action != reclaimer.MoveKV {
		return
	}
	m.decided = action
	m.g.metrics.Count("handovers_planned_" + string(action))
	m.g.cfg.Log.Info().Str("event", "handover_decided").Str("request_id", m.requestID).Str("upstream", m.upstream.ID).Str("action", string(action)).
		Dur("notice", notice).Dur("time_left", s.TimeLeft).Int("prompt_tokens", s.PromptTokens).Int("sent_tokens", s.SentTokens).Int("expected_tokens", m.expected).
		Float64("event_tokens", eventTokens).Dur("transfer", m.transferTime(s.PromptTokens+s.SentTokens, target)).Int("priority", m.priority).
		Bool("resumable", m.resumable).Str("target", target.ID).Send()
}

// beginStop begins to stop the run. It returns false if the stream has ended.
func (m *movableStream) beginStop() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return false
	}
	m.stopping = make(chan struct{})
	return true
}

// endStop ends the call that stops the run. It returns false if the run does not go on. The
// attempt at the source ends after sourceCloseTime, also if its stream stays open.
func (m *movableStream) endStop(run movedRun, stopped bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer close(m.stopping)
	if !stopped || m.ended {
		return false
	}
	m.moved = &run
	time.AfterFunc(sourceCloseTime, func() { m.cancel(errMoved) })
	return true
}
