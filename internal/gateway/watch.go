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
	// firstFactor times a route's target is how long an upstream may be silent
	// before its first byte, and gapFactor times the route's longest good pause
	// how long between two events, before the request goes to another one.
	firstFactor = 3
	gapFactor   = 3
	// leastSilence bounds both from below: no network is that slow.
	leastSilence = 500 * time.Millisecond
)

var errSilent = errors.New("the upstream is silent")

// watch ends an attempt on an upstream that has been silent for too long, where
// another may take the request over.
type watch struct {
	timer *time.Timer
	limit time.Duration
	end   context.CancelCauseFunc
	// paid says that the retry was taken from the budget.
	paid atomic.Bool
}

// watch returns a context for one attempt of a call, which ends when its
// upstream is silent for too long.
func (g *Gateway) watch(ctx context.Context, c *call) (context.Context, *watch) {
	ctx, end := context.WithCancelCause(ctx)
	w := &watch{end: end}
	if !c.mayRerun() {
		return ctx, w
	}
	deployment := c.deployment
	exclude := append(slices.Clone(c.exclude), c.upstream.ID)
	w.limit = max(leastSilence, gapFactor*c.route.TargetGap)
	w.timer = time.AfterFunc(max(leastSilence, firstFactor*c.route.TargetLatency), func() {
		if g.others(deployment, exclude) && g.chargeRetry(deployment) {
			w.paid.Store(true)
			end(errSilent)
		}
	})
	return ctx, w
}

// mayRerun reports whether a call that has run once more may go on elsewhere.
func (c *call) mayRerun() bool {
	return c.sends < maxSends && c.route.Retryable() && c.runs+1 < c.route.MaxAttempts
}

// others reports whether a deployment has an upstream beyond those excluded.
func (g *Gateway) others(deployment string, exclude []string) bool {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	return len(g.state.router.Eligible(g.cfg.Now(), router.Request{Deployment: deployment, Exclude: exclude})) > 0
}

// progress notes that bytes have arrived.
func (w *watch) progress() {
	if w.timer != nil && !w.paid.Load() {
		w.timer.Reset(w.limit)
	}
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.end(nil)
}
