package gateway

import (
	"time"

	"github.com/galenahitch/galenahitch/pkg/resolver"
	"github.com/galenahitch/galenahitch/pkg/retrier"
)

const (
	// retryReserve is the share of the retry allowance that is left for retries that no
	// running entry counts: those of processes that were replaced, and those of entries
	// that are cut off from the others.
	retryReserve = 0.5
	// retryGrowthWindows is the number of windows in which the part of a new process
	// grows to its full size. The processes that replace one another in a window then
	// use half of the reserve at most.
	retryGrowthWindows = 2
	// retryRatioReserve is the share of the retries per request that is not used: the
	// spans with most requests may differ between entries.
	retryRatioReserve = 0.1
)

// memberPeak is the largest number of entries within a window.
type memberPeak struct {
	members int
	at      time.Time
}

// update takes the current number of entries into account and returns the peak.
func (p *memberPeak) update(now time.Time, members int, window time.Duration) int {
	if members >= p.members || now.Sub(p.at) > window {
		p.members, p.at = members, now
	}
	return p.members
}

// configureRetryBudgets sets the limits of the retry budget of each deployment, except
// the allowance.
func (st *state) configureRetryBudgets(r *resolver.Resolver) {
	for _, d := range r.Deployments() {
		budget, ok := st.retryBudgets[d.Name]
		if !ok {
			budget = &retrier.Window{}
			st.retryBudgets[d.Name] = budget
		}
		budget.Span = st.cfg.Quotas.RetryWindow
		budget.Ratio = st.cfg.Quotas.RetryRatio * (1 - retryRatioReserve)
	}
}

// retryAllowance returns this entry's part of the retry allowance and the number of
// entries that share it. It is zero until the entry has read how many there are, and
// grows with the age of the process at first: an entry that starts again and again gets
// no more than half of its part in a window, besides that of the first process, and one
// that started with the others gets little until it knows them. The lock must be held.
func (g *Gateway) retryAllowance(now time.Time) (allowance float64, members int) {
	if _, read := g.entryFollower.Age(g.cfg.LeaseNow()); !read {
		return 0, 0
	}
	st := g.state
	window := g.cfg.Quotas.RetryWindow
	members = st.memberPeak.update(now, st.memberCount(), window)
	grown := min(1, now.Sub(g.startedAt).Seconds()/(retryGrowthWindows*window.Seconds()))
	return g.cfg.Quotas.RetryAllowance * (1 - retryReserve) * grown / float64(members), members
}

// chargeRetry charges a retry of a request to a deployment's budget. It returns false if
// the budget is used up.
func (g *Gateway) chargeRetry(requestID, deployment string) bool {
	st := g.state
	now := g.cfg.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	budget, ok := st.retryBudgets[deployment]
	members := 0
	if ok {
		budget.Allowance, members = g.retryAllowance(now)
	}
	if !ok || !budget.TakeRetry(now) {
		g.metrics.Count("retries_over_budget")
		line := g.cfg.Log.Info().Str("event", "retry_refused").Str("request_id", requestID).Str("deployment", deployment).Int("members", members)
		if ok {
			age, _ := g.entryFollower.Age(g.cfg.LeaseNow())
			line = line.Float64("allowance", budget.Allowance).Float64("ratio", budget.Ratio).Dur("entries_age", age)
		}
		line.Send()
		return false
	}
	g.metrics.Count("retries_charged")
	return true
}
