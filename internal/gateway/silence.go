package gateway

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

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

// The causes of canceled attempts of which another one went on.
var (
	errSilent    = errors.New("the upstream was silent and another one has taken the request over")
	errNotNeeded = errors.New("the upstream that was silent has gone on")
)

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
