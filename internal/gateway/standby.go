package gateway

import (
	"context"

	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/judge"
)

// mayOffer reports whether the limits of the call and its route allow another attempt
// beside the current one. It leaves one for the case that the current one fails.
func (c *call) mayOffer() bool { return c.sends < maxSends-1 && c.mayRerun() }

// fork returns a copy of the call for attempts beside the current one.
func (c *call) fork() *call {
	fork := *c
	fork.exclude = c.withUpstreamExcluded()
	fork.moved = nil
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
	for c.mayOffer() && !g.isSuspectCall(c) && g.hasOtherUpstream(c, c.exclude) {
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
		Str("resumes_from", b.call.resumeFrom()).Int("sends", b.call.sends).Dur("silence_limit", s.timeout).Dur("took", s.g.cfg.Now().Sub(r.sentAt)).
		Dur("list_age", b.call.listAge).Send()
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

// drop ends the search.
func (b *standby) drop() {
	b.dropped = true
	b.cancel(errNotNeeded)
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

// discard drops the standby of a call that goes on elsewhere, with the attempts counted.
func (b *standby) discard(c *call) {
	if b == nil {
		return
	}
	b.watch.mu.Lock()
	if b.response != nil {
		c.runs++
	}
	b.addTo(c)
	b.watch.mu.Unlock()
	b.end()
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
	}
	b.watch.mu.Lock()
	defer b.watch.mu.Unlock()
	b.addTo(c)
	if b.response == nil {
		b.drop()
		return nil
	}
	c.beginWith(b.call)
	return b.response
}

// isSuspectCall reports whether the request, or a part of it, may crash upstreams.
func (g *Gateway) isSuspectCall(c *call) bool {
	g.state.mu.Lock()
	status := g.state.crashStatus(g.cfg.Now(), c.fingerprint)
	g.state.mu.Unlock()
	return status != isolator.Clear || g.hasSuspectPart(c)
}
