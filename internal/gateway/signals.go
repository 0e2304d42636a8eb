package gateway

import (
	"time"

	"github.com/galenahitch/galenahitch/internal/reporter"
	"github.com/galenahitch/galenahitch/pkg/router"
)

// disputeAge is how long an upstream that said that it leaves is listed as one that does
// not before that is logged.
const disputeAge = time.Minute

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
	st.recordSignals(g.cfg.Now(), id, router.Signals{Leaving: info.Leaving, RetryAfter: info.RetryAfter})
}

// recordSignals passes signals to the router. The lock must be held.
func (st *state) recordSignals(now time.Time, id string, signals router.Signals) {
	if st.router.RecordSignals(now, id, signals) {
		st.logAvoided(now)
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
	next, known := st.router.NextReturn(now, router.Request{Deployment: c.deployment})
	st.mu.Unlock()
	if !known {
		return st.jitter(retryDelay)
	}
	return next.Sub(now) + st.jitter(minRetrySpread) + st.jitter(next.Sub(now)/retrySpreadParts)
}

// retrySpreadParts divides the time until an upstream returns; the callers that wait for
// it come back within one part.
const retrySpreadParts = 2
