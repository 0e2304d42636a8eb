package gateway

import (
	"context"
	"time"

	"github.com/galenahitch/galenahitch/internal/waiter"
)

const (
	// deregistrationDelay is how long callers may still be sent here after the entry
	// has stopped to be ready: two missed checks a second apart, and the time of
	// one to come.
	deregistrationDelay = 3500 * time.Millisecond
	// refuseLongAfter is how long after the order to stop requests are still accepted
	// that may take longer than the process lives.
	refuseLongAfter = 2900 * time.Millisecond
	// stopMargin is how much before the end of the grace open requests are given
	// up and answered, so that they are not cut by the end of the process.
	stopMargin = 500 * time.Millisecond
	// closeTimeout bounds the closing of callers' connections.
	closeTimeout = 250 * time.Millisecond
	// drainPollInterval is the time between two looks at what is still open.
	drainPollInterval = 50 * time.Millisecond
)

// drain lets callers go elsewhere and what is open come to its end.
func (g *Gateway) drain() {
	began := g.cfg.Now()
	g.stoppingSince = began
	g.stopping.Store(true)
	g.cfg.Log.Info().Str("event", "stopping").Int64("open", g.openRequests.Load()).Send()
	g.gossip.Send()
	last := g.abortTime()
	ctx, cancel := context.WithDeadline(context.Background(), last)
	defer cancel()
	g.leader.release(ctx)
	g.deleteMemberRow(ctx)
	for waiter.Pause(ctx, drainPollInterval) {
		if g.openRequests.Load() == 0 && g.cfg.Now().Sub(began) >= deregistrationDelay {
			break
		}
	}
	if open := g.openRequests.Load(); open > 0 {
		g.cfg.Log.Warn().Str("event", "requests_given_up").Int64("open", open).Send()
	}
	g.abort()
	g.gossip.Send()
}

// abortTime is when open requests are given up.
func (g *Gateway) abortTime() time.Time { return g.stoppingSince.Add(g.cfg.StopGrace - stopMargin) }

// outlivesProcess reports whether a stopping process may not live long enough for a
// call. Callers have been sent elsewhere for a while by then.
func (g *Gateway) outlivesProcess(c *call) bool {
	return g.stopping.Load() && c.arrived.Sub(g.stoppingSince) >= refuseLongAfter && c.deadline.After(g.abortTime())
}
