package gateway

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/resolver"
)

const (
	// An upstream may be silent for firstByteFactor times the route's target
	// latency before the first byte and for gapFactor times the route's longest
	// normal gap between two events. After that the request is offered to other
	// upstreams as well.
	firstByteFactor = 3
	gapFactor       = 3
	// minSilence is the lower limit of both timeouts. No network delay is that
	// long.
	minSilence = 500 * time.Millisecond
)

var errSilent = errors.New("the upstream was silent and another one has taken the request over")

// silenceWatch offers a request to other upstreams while the attempt that it watches is
// silent. The attempt is canceled with errSilent only when the response of another upstream
// has begun. If it goes on before that, the other upstream is dropped.
type silenceWatch struct {
	g      *Gateway
	call   *call
	parent context.Context
	cancel context.CancelCauseFunc
	gap    time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// timeout is the silence after which the timer fires next.
	timeout time.Duration
	// waiting reports that the attempt waits for bytes. Its call does not change then.
	waiting bool
	stopped bool
	standby *standby
}

// watchSilence watches an attempt of a call, which ends with cancel. ctx is that of the call.
func (g *Gateway) watchSilence(ctx context.Context, c *call, cancel context.CancelCauseFunc) *silenceWatch {
	s := &silenceWatch{g: g, call: c, parent: ctx, cancel: cancel, timeout: max(minSilence, firstByteFactor*c.route.TargetLatency)}
	s.gap = s.timeout
	if c.route.Kind == resolver.Streaming {
		s.gap = max(minSilence, gapFactor*c.route.TargetGap)
	}
	if c.mayRerun() {
		s.timer = time.AfterFunc(time.Hour, s.offer)
	}
	s.wait()
	return s
}

// wait begins to measure silence, if that has not begun.
func (s *silenceWatch) wait() {
	if s.timer == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.waiting && !s.stopped {
		s.waiting = true
		s.timer.Reset(s.timeout)
	}
}

// update changes the call of an attempt that waits for bytes.
func (s *silenceWatch) update(change func()) {
	if s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
	}
	change()
}

// failed ends the silence of an attempt that has failed. The upstream on standby goes on.
func (s *silenceWatch) failed() {
	s.update(func() { s.waiting = false })
}

// arrived ends the silence and drops the upstream on standby. It returns false if that has
// taken the request over, so that what has arrived must be dropped.
func (s *silenceWatch) arrived() bool {
	if s.timer == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.standby != nil && s.standby.response != nil {
		return false
	}
	s.waiting, s.timeout = false, s.gap
	s.timer.Stop()
	if s.standby != nil {
		s.standby.addTo(s.call)
		s.standby.drop()
		s.standby = nil
	}
	return true
}

// release ends the watch of an attempt that has failed. It returns the upstream on standby,
// or nil.
func (s *silenceWatch) release() *standby {
	if s.timer == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting, s.stopped = false, true
	s.timer.Stop()
	b := s.standby
	s.standby = nil
	return b
}

// stop ends the watch.
func (s *silenceWatch) stop() {
	if b := s.release(); b != nil {
		b.end()
	}
}

// offer offers the request to other upstreams.
func (s *silenceWatch) offer() {
	s.mu.Lock()
	c := s.call
	if !s.waiting || s.standby != nil || c.isSuspect || c.notResumable || !c.mayOffer() {
		s.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancelCause(s.parent)
	b := &standby{watch: s, call: c.fork(), ctx: ctx, cancel: cancel, done: make(chan struct{})}
	s.standby = b
	s.mu.Unlock()
	b.run()
}

// mayOffer reports whether the limits of the call and its route allow another attempt
// beside the current one. It leaves one for the case that the current one fails.
func (c *call) mayOffer() bool { return c.sends < maxSends-1 && c.mayRerun() }

// fork returns a copy of the call for attempts beside the current one.
func (c *call) fork() *call {
	fork := *c
	fork.exclude = c.withUpstreamExcluded()
	return &fork
}

// standby is a copy of a call that looks for an upstream that takes the request over.
type standby struct {
	watch  *silenceWatch
	call   *call
	ctx    context.Context
	cancel context.CancelCauseFunc
	// done is closed when the search has ended.
	done chan struct{}

	// The lock of the watch guards what follows. sends and runs are those of the standby:
	// an attempt that has not ended counts as run. refused are the upstreams that did not
	// take the request.
	sends   int
	runs    int
	refused []string
	dropped bool
	// response is that of the upstream that has taken the request over.
	response *upstreamResponse
}

// run offers the request to one upstream after the other until one takes it.
func (b *standby) run() {
	defer close(b.done)
	g, c := b.watch.g, b.call
	for c.mayOffer() && !g.isSuspectCall(c) && g.hasOtherUpstream(c.deployment, c.exclude) {
		u, ok := g.chooseUpstream(c)
		if !ok || !g.chargeRetry(c.request.ID, c.deployment) || !b.beginAttempt() {
			break
		}
		r := g.begin(b.ctx, c, u)
		f := g.awaitBeginning(c, r)
		if f == nil {
			if !b.take(r) {
				r.close(c)
			}
			return
		}
		r.close(c)
		b.endAttempt(u, f)
		g.recordAttemptFailure(b.ctx, c, u, f)
		if b.ctx.Err() != nil {
			return
		}
		c.exclude = append(c.exclude, u.ID)
	}
	b.giveUp()
}

func (b *standby) beginAttempt() bool {
	b.watch.mu.Lock()
	defer b.watch.mu.Unlock()
	b.sends++
	b.runs++
	return !b.dropped
}

func (b *standby) endAttempt(u Upstream, f *failure) {
	b.watch.mu.Lock()
	defer b.watch.mu.Unlock()
	if f.verdict == judge.NotRun {
		b.runs--
	}
	b.refused = append(b.refused, u.ID)
}

// take ends the silent attempt, if it has not failed, as the response of another upstream
// has begun. It returns false if the silent one has gone on before.
func (b *standby) take(r *upstreamResponse) bool {
	s := b.watch
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.dropped {
		return false
	}
	b.response = r
	s.g.metrics.Count("takeovers")
	s.g.cfg.Log.Info().Str("event", "request_taken_over").Str("request_id", b.call.request.ID).Str("upstream", r.upstream.ID).
		Str("resumes_from", b.call.resumeFrom()).Int("sends", b.call.sends).Send()
	if s.waiting {
		s.waiting = false
		s.cancel(errSilent)
	}
	return true
}

// giveUp ends a search without success. If the attempt is still silent, the next search
// begins after another timeout.
func (b *standby) giveUp() {
	s := b.watch
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.dropped || !s.waiting {
		return
	}
	s.standby = nil
	b.addTo(s.call)
	s.timer.Reset(s.timeout)
}

// addTo adds the attempts of the standby to those of its call, without the one that has
// taken it over.
func (b *standby) addTo(c *call) {
	c.sends += b.sends
	c.runs += b.runs
	if b.response != nil {
		c.runs--
	}
	c.exclude = append(c.exclude, b.refused...)
	b.sends, b.runs, b.refused = 0, 0, nil
}

// drop ends the search. If its upstream crashes now, the cause is as uncertain as when a
// caller has left.
func (b *standby) drop() {
	b.dropped = true
	b.cancel(errDisconnected)
}

// end drops the standby and the response that it may have.
func (b *standby) end() {
	b.watch.mu.Lock()
	b.drop()
	r := b.response
	b.watch.mu.Unlock()
	if r != nil {
		r.close(b.call)
	}
}

// await waits until the search has ended and returns the response of the upstream that has
// taken the request over from an attempt that has failed, or nil. The call goes on with it.
func (b *standby) await(ctx context.Context, c *call) *upstreamResponse {
	if b == nil {
		return nil
	}
	select {
	case <-b.done:
	case <-ctx.Done():
		b.end()
		return nil
	}
	b.watch.mu.Lock()
	defer b.watch.mu.Unlock()
	b.addTo(c)
	if b.response != nil {
		c.beginWith(b.call)
	}
	return b.response
}

// isSuspectCall reports whether the request, or a part of it, may crash upstreams.
func (g *Gateway) isSuspectCall(c *call) bool {
	g.state.mu.Lock()
	status := g.state.crashStatus(g.cfg.Now(), c.fingerprint)
	g.state.mu.Unlock()
	return status != isolator.Clear || g.hasSuspectPart(c)
}

// watchedReader reads the body of a response and reports its silence.
type watchedReader struct {
	body    io.Reader
	silence *silenceWatch
}

// Read reads bytes. It returns errSilent if another upstream has taken the request over.
func (r watchedReader) Read(b []byte) (int, error) {
	r.silence.wait()
	n, err := r.body.Read(b)
	switch {
	case n == 0 && err != nil && err != io.EOF:
		r.silence.failed()
	case !r.silence.arrived():
		return 0, errSilent
	}
	return n, err
}
