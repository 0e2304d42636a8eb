package gateway

import (
	"context"
	"time"

	"github.com/galenahitch/galenahitch/internal/waiter"
)

const (
	// deregistrationDelay is how long new requests may arrive after the entry
	// stops being ready: two missed checks a second apart, and the time until
	// the next check.
	deregistrationDelay = 3500 * time.Millisecond
	// Once refuseLongAfter has passed since the drain began, requests whose
	// deadline is after abortTime are refused.
	refuseLongAfter = 2900 * time.Millisecond
	// stopMargin is how long before the end of StopGrace open requests are
	// aborted, so that they get a refusal before the process ends.
	stopMargin = 500 * time.Millisecond
	// closeTimeout limits the closing of callers' connections.
	closeTimeout = 250 * time.Millisecond
	// drainPollInterval is the time between two checks for open requests.
	drainPollInterval = 50 * time.Millisecond
)

// drain waits until callers use other entries and open requests have finished,
// and aborts those that are still open at abortTime. It also releases the leader's
// lease and deletes the entry's row.
func (g *Gateway) drain() {
	since := g.cfg.Now()
	g.stoppingSince = since
	g.stopping.Store(true)
	g.cfg.Log.Info().Str("event", "stopping").Int64("open", g.openRequests.Load()).Send()
	g.gossip.Send()
	abortAt := g.abortTime()
	ctx, cancel := context.WithDeadline(context.Background(), abortAt)
	defer cancel()
	g.leader.release(ctx)
	g.deleteMemberRow(ctx)
	for waiter.Pause(ctx, drainPollInterval) {
		if g.cfg.Now().Sub(since) >= deregistrationDelay && g.closeIfIdle() {
			break
		}
	}
	g.closed.Store(true)
	if open := g.openRequests.Load(); open > 0 {
		g.cfg.Log.Warn().Str("event", "requests_given_up").Int64("open", open).Send()
	}
	g.abort()
	g.gossip.Send()
}

// abortTime returns when open requests are aborted.
func (g *Gateway) abortTime() time.Time { return g.stoppingSince.Add(g.cfg.StopGrace - stopMargin) }

// closeIfIdle ends the acceptance of requests if none is open, and reports whether there is
// still none: one that came in between is finished.
func (g *Gateway) closeIfIdle() bool {
	if g.openRequests.Load() > 0 {
		return false
	}
	g.closed.Store(true)
	return g.openRequests.Load() == 0
}

// mayOutliveProcess reports whether a call must be refused because the process is
// stopping and may end before the call's deadline. Once refuseLongAfter has
// passed, most callers use other entries.
func (g *Gateway) mayOutliveProcess(c *call) bool {
	return g.closed.Load() || g.stopping.Load() && c.arrived.Sub(g.stoppingSince) >= refuseLongAfter && c.deadline.After(g.abortTime())
}
