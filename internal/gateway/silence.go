package gateway

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/galenahitch/galenahitch/pkg/router"
)

const (
	// firstByteFactor times a route's target is how long an upstream may be silent
	// before its first byte, and gapFactor times the route's longest good pause
	// how long between two events, before the request goes to another one.
	firstByteFactor = 3
	gapFactor       = 3
	// minSilence bounds both from below: no network is that slow.
	minSilence = 500 * time.Millisecond
)

var errSilent = errors.New("the upstream is silent")

// silenceTimer ends an attempt on an upstream that has been silent for too long, where
// another may take the request over.
type silenceTimer struct {
	timer      *time.Timer
	gapTimeout time.Duration
	cancel     context.CancelCauseFunc
	// retryCharged says that the retry was taken from the budget.
	retryCharged atomic.Bool
}

// watchSilence returns a context for one attempt of a call, which ends when its
// upstream is silent for too long.
func (g *Gateway) watchSilence(ctx context.Context, c *call) (context.Context, *silenceTimer) {
	ctx, end := context.WithCancelCause(ctx)
	w := &silenceTimer{cancel: end}
	if !c.mayRerun() {
		return ctx, w
	}
	deployment := c.deployment
	exclude := append(slices.Clone(c.exclude), c.upstream.ID)
	w.gapTimeout = max(minSilence, gapFactor*c.route.TargetGap)
	w.timer = time.AfterFunc(max(minSilence, firstByteFactor*c.route.TargetLatency), func() {
		if g.hasOtherUpstream(deployment, exclude) && g.chargeRetry(deployment) {
			w.retryCharged.Store(true)
			end(errSilent)
		}
	})
	return ctx, w
}

// mayRerun reports whether a call that has run once more may go on elsewhere.
func (c *call) mayRerun() bool {
	return c.sends < maxSends && c.route.Retryable() && c.runs+1 < c.route.MaxAttempts
}

// hasOtherUpstream reports whether a deployment has an upstream beyond those excluded.
func (g *Gateway) hasOtherUpstream(deployment string, exclude []string) bool {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	return len(g.state.router.Eligible(g.cfg.Now(), router.Request{Deployment: deployment, Exclude: exclude})) > 0
}

// progress notes that bytes have arrived.
func (w *silenceTimer) progress() {
	if w.timer != nil && !w.retryCharged.Load() {
		w.timer.Reset(w.gapTimeout)
	}
}

func (w *silenceTimer) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}
