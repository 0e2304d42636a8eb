package gateway

import (
	"time"

	"github.com/galenahitch/galenahitch/internal/reporter"
	"github.com/galenahitch/galenahitch/pkg/router"
)

// disputeAge is how long an upstream that said that it leaves is listed as one that does
// not before that is logged.
const disputeAge = time.Minute

// saidSignalsLifetime is how long after a signal of an upstream the list may still be
// outdated so far that it has an earlier run.
const saidSignalsLifetime = time.Minute

// saidSignals are the times, by the agreed clock, at which an upstream last said that it
// leaves and asked for time, and the end of that time.
type saidSignals struct{ leavingAt, askedAt, askedUntil time.Time }

// maySend reports whether a request for an upstream may still be sent there. The entry may
// have learned since it chose the upstream that nothing may.
func (g *Gateway) maySend(id string) bool {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	return !g.state.router.Admission(g.cfg.Now(), id).Forbids()
}

// recordSignals records what an upstream says of itself in the head of a response. That of
// a process that has taken the upstream's address says nothing of the upstream.
func (g *Gateway) recordSignals(id string, info ResponseInfo) {
	if info.Misdirected || !info.Leaving && info.RetryAfter == 0 {
		return
	}
	if info.Leaving {
		g.metrics.Count("responses_leaving")
	}
	if info.RetryAfter > 0 {
		g.metrics.Count("responses_retry_after")
	}
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	st.rememberSignals(g.cfg.Now(), id, info)
	st.recordSignals(g.cfg.Now(), id, router.Signals{Leaving: info.Leaving, RetryAfter: info.RetryAfter})
}

// recordSignals passes signals to the router. The lock must be held.
func (st *state) recordSignals(now time.Time, id string, signals router.Signals) {
	if st.router.RecordSignals(now, id, signals) {
		st.logAvoided(now)
	}
}

// rememberSignals remembers signals by the upstream's name. The lock must be held.
func (st *state) rememberSignals(now time.Time, id string, info ResponseInfo) {
	u, listed := st.upstreamByID[id]
	if !listed {
		return
	}
	agreed, said := st.agreedTime(now), st.saidSignals[u.Name]
	if info.Leaving {
		said.leavingAt = agreed
	}
	if info.RetryAfter > 0 {
		said.askedAt, said.askedUntil = agreed, agreed.Add(info.RetryAfter)
	}
	st.saidSignals[u.Name] = said
}

// repeatSignals records the signals again for the listed upstreams that started before a
// process with their name sent them. An outdated list may have had an earlier run of that
// process. The lock must be held.
func (st *state) repeatSignals(now time.Time) {
	agreed := st.agreedTime(now)
	for name, said := range st.saidSignals {
		if agreed.Sub(said.leavingAt) > saidSignalsLifetime && !agreed.Before(said.askedUntil) {
			delete(st.saidSignals, name)
			continue
		}
		u, listed := st.upstreams[name]
		if !listed || u.StartedAt.IsZero() {
			continue
		}
		signals := router.Signals{Leaving: agreed.Sub(said.leavingAt) <= saidSignalsLifetime && !u.StartedAt.After(said.leavingAt)}
		if !u.StartedAt.After(said.askedAt) {
			signals.RetryAfter = max(0, said.askedUntil.Sub(agreed))
		}
		st.recordSignals(now, u.ID, signals)
	}
}

// logAvoided logs which upstreams have begun or ceased to be avoided. The lock must be
// held.
func (st *state) logAvoided(now time.Time) {
	reporter.LogAvoided(st.log, now, now.Sub(st.listUpdatedAt), st.router.Changes(now))
}

// updateDisputedLeavings finds the upstreams that said that they leave, but have been
// listed as ones that do not for disputeAge since. They get no requests before they start
// again.
func (st *state) updateDisputedLeavings(now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	previous := st.disputedLeavings
	st.disputedLeavings = map[string]bool{}
	for _, u := range st.upstreams {
		a := st.router.Admission(now, u.ID)
		if u.Leaving || a.Cause != router.CauseLeaving || now.Sub(a.Since) < disputeAge {
			continue
		}
		st.disputedLeavings[u.ID] = true
		if !previous[u.ID] {
			st.log.Warn().Str("event", "upstream_leaving_disputed").Str("upstream", u.ID).Str("address", u.Address).
				Dur("age", now.Sub(a.Since)).Dur("list_age", now.Sub(st.listUpdatedAt)).Send()
		}
	}
}

// retryAfter returns the time after which a caller that no upstream could serve is asked to
// retry: if all upstreams are avoided, after the first of them returns.
func (g *Gateway) retryAfter(c *call) time.Duration {
	now := g.cfg.Now()
	st := g.state
	st.mu.Lock()
	next, known := st.router.NextReturn(now, router.Request{Deployment: c.deployment, Domains: c.domains})
	wait, spread := st.returnTime(now, c)
	st.mu.Unlock()
	switch {
	case known:
		return max(wait, next.Sub(now)+st.jitter(minRetrySpread)+st.jitter(next.Sub(now)/retrySpreadParts))
	case spread:
		return wait
	default:
		return st.jitter(retryDelay)
	}
}

// retrySpreadParts divides the time until an upstream returns; the callers that wait for
// it come back within one part.
const retrySpreadParts = 2
