package gateway

import (
	"time"

	"github.com/galenahitch/galenahitch/pkg/predictor"
	"github.com/galenahitch/galenahitch/pkg/resolver"
)

// maxWriteTime is the longest time in which an event is written to a caller such that the next
// pause is that of the upstream alone.
const maxWriteTime = 5 * time.Millisecond

// predicts reports whether the speeds of a call's upstreams are measured. They are for
// deployments with an engine and for routes with a target.
func (st *state) predicts(c *call) bool {
	if !st.cfg.PredictTimes || c.route.TargetLatency > 0 {
		return st.cfg.PredictTimes
	}
	r := st.resolver.Load()
	if r == nil {
		return false
	}
	d, ok := r.Deployment(c.deployment)
	return ok && d.Engine != nil
}

// predict records the load of the current attempt's upstream and what is expected of it. The
// lock must be held.
func (st *state) predict(now time.Time, c *call) {
	if st.indexesPrefixes(c) {
		c.heldTokens = st.prefixes.HeldTokens(c.deployment, c.upstream.ID, c.prompt)
	}
	load := st.router.PredictorLoad(now, c.upstream.ID)
	c.loadAtStart, c.slots = load.Requests, load.Slots
	if prediction, ok := st.router.Predict(now, c.upstream.ID, c.predictorRequest()); ok {
		c.prediction = prediction
	}
}

// indexesPrefixes reports whether the parts of a call's prompt are in the index of prefixes.
// They are for deployments with an engine.
func (st *state) indexesPrefixes(c *call) bool {
	r := st.resolver.Load()
	if !st.cfg.PredictTimes || r == nil || len(c.prompt) == 0 {
		return false
	}
	d, ok := r.Deployment(c.deployment)
	return ok && d.Engine != nil
}

// recordAccepted records that the current attempt's upstream has not refused the request, and so
// reads the prompt.
func (g *Gateway) recordAccepted(c *call) {
	if !g.cfg.PredictTimes {
		return
	}
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.indexesPrefixes(c) {
		st.prefixes.RecordSent(c.deployment, c.upstream.ID, c.prompt)
	}
}

// configurePrefixes passes the memory of engines to the index of prefixes. The lock must be
// held.
func (st *state) configurePrefixes(cfg resolver.Config) {
	for _, d := range cfg.Deployments {
		if d.Engine != nil {
			st.prefixes.SetMemory(d.Name, d.Engine.KVCapacityTokens)
		}
	}
}

func (c *call) predictorLoad() predictor.Load {
	return predictor.Load{Requests: c.loadAtStart, Slots: c.slots}
}

func (c *call) predictorRequest() predictor.Request {
	return predictor.Request{Deployment: c.deployment, ReadTokens: max(0, c.request.PromptTokens-int(c.heldTokens))}
}

// recordEvent measures the pause before an event of a stream.
func (g *Gateway) recordEvent(now time.Time, c *call) {
	if !g.cfg.PredictTimes {
		return
	}
	last := c.lastEventAt
	c.lastEventAt = now
	if last.IsZero() || c.resuming {
		return
	}
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.predicts(c) {
		st.predictor.RecordPause(now, c.upstream.ID, st.router.PredictorLoad(now, c.upstream.ID), c.deployment, now.Sub(last))
	}
}

// speedDifferences returns the number of upstreams whose speed differs from the median of their
// deployment, and the largest slowness. The lock must be held.
func (st *state) speedDifferences(now time.Time) (int, float64) {
	differing, slowest := 0, 1.0
	for deployment := range st.deploymentSizes {
		for _, factor := range st.predictor.Factors(now, deployment) {
			differing++
			slowest = max(slowest, factor)
		}
	}
	return differing, slowest
}
