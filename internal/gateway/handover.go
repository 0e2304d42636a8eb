package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/galenahitch/galenahitch/internal/waiter"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/reclaimer"
	"github.com/galenahitch/galenahitch/pkg/router"
)

const (
	// maxCacheTargets limits the targets that are asked to hold the KV cache of one stream.
	maxCacheTargets = 2
	// maxCacheRetries limits the repeats of a call while another one is in progress.
	maxCacheRetries = 3
	cacheRetryDelay = 30 * time.Millisecond
	// cacheCallTime is added to the time of a transfer for the limit of a call.
	cacheCallTime = 300 * time.Millisecond
	// minStopTime is the shortest limit of the call that stops a run. A run whose call is
	// given up is lost.
	minStopTime = time.Second
	// transferFactor is how much longer than predicted a transfer may take, as other
	// entries use the same links.
	transferFactor = 3
	// freeTimeout limits the call that frees a copy.
	freeTimeout = time.Second
	// reclaimablePenalty and otherDomainPenalty are the costs of a target that may be
	// reclaimed soon, too, and of one with a slow link, in shares of its slots.
	reclaimablePenalty = 0.5
	otherDomainPenalty = 0.1
	// decisionInterval is the time between two decisions about the streams that stay. One
	// that is slower than predicted may still be moved.
	decisionInterval = 200 * time.Millisecond
	// eventTokensFall and eventTokensRise are the weights of one stream in the tokens per
	// event of its deployment. A low value predicts long streams, which are moved rather
	// than cut.
	eventTokensFall = 0.5
	eventTokensRise = 0.05
)

// movedRun is a run that has stopped. It can go on once, at one of the upstreams.
type movedRun struct {
	source Upstream
	// target has a copy, unless it has refused the last part.
	target Upstream
	handle string
	// holders may go on with the run, in this order.
	holders []Upstream
	// sourceUntil is when the source gets no more requests, as it leaves.
	sourceUntil time.Time
}

// departure is a reclaimable upstream that leaves.
type departure struct {
	upstream  Upstream
	noticedAt time.Time
	leavesAt  time.Time
	// running reports that its streams are being moved.
	running bool
}

// handovers are the movable streams of the entry and the leaving upstreams, by upstream ID.
type handovers struct {
	mu      sync.Mutex
	streams map[string]map[*movableStream]bool
	leaving map[string]*departure
	// eventTokens are the measured tokens per event, by deployment.
	eventTokens map[string]float64
}

func newHandovers() *handovers {
	return &handovers{streams: map[string]map[*movableStream]bool{}, leaving: map[string]*departure{}, eventTokens: map[string]float64{}}
}

// recordLength records the expected tokens per event of a complete stream.
func (h *handovers) recordLength(deployment string, tokens float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old, known := h.eventTokens[deployment]; known {
		weight := eventTokensRise
		if tokens < old {
			weight = eventTokensFall
		}
		tokens = old + weight*(tokens-old)
	}
	h.eventTokens[deployment] = tokens
}

// noticeDepartures begins to move the streams of reclaimable upstreams that the list now
// says to be leaving.
func (g *Gateway) noticeDepartures(now time.Time) {
	if g.cfg.CacheMover == nil {
		return
	}
	st, h := g.state, g.handovers
	st.mu.Lock()
	var leaving []Upstream
	for _, u := range st.upstreams {
		if u.Leaving && u.Reclaimable && u.LeavesIn > 0 {
			leaving = append(leaving, u)
		}
	}
	st.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, d := range h.leaving {
		if now.After(d.leavesAt) && !d.running {
			delete(h.leaving, id)
		}
	}
	for _, u := range leaving {
		if _, known := h.leaving[u.ID]; !known {
			h.leaving[u.ID] = &departure{upstream: u, noticedAt: now, leavesAt: now.Add(u.LeavesIn)}
			g.startHandover(now, u.ID)
		}
	}
}

// startHandover moves the streams of an upstream if it leaves. The lock of handovers must be
// held.
func (g *Gateway) startHandover(now time.Time, id string) {
	h := g.handovers
	if d, ok := h.leaving[id]; ok && !d.running && len(h.streams[id]) > 0 && now.Before(d.leavesAt) {
		d.running = true
		go g.handOver(d)
	}
}

// handOver moves the streams of a leaving upstream, one after the other, as they share its
// link.
func (g *Gateway) handOver(d *departure) {
	ctx, cancel := context.WithTimeout(g.abortContext, d.leavesAt.Sub(g.cfg.Now()))
	defer cancel()
	for ctx.Err() == nil {
		m, target, transfer := g.nextHandover(d)
		switch {
		case m != nil:
			g.move(ctx, d, m, target, transfer)
		case !d.isRunning(g.handovers):
			return
		default:
			waiter.Pause(ctx, decisionInterval)
		}
	}
}

// isRunning reports whether there may be more streams to move.
func (d *departure) isRunning(h *handovers) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return d.running
}

// nextHandover decides about the streams of a leaving upstream. It returns the first one to
// move, its target and the time of the transfer, or nil.
func (g *Gateway) nextHandover(d *departure) (*movableStream, Upstream, time.Duration) {
	now := g.cfg.Now()
	remaining := d.leavesAt.Sub(now)
	h := g.handovers
	h.mu.Lock()
	defer h.mu.Unlock()
	byID, targets := map[string]*movableStream{}, map[string]Upstream{}
	var streams []reclaimer.Stream
	for m := range h.streams[d.upstream.ID] {
		s, ok := m.describe(h.eventTokens[m.deployment])
		if !ok {
			continue
		}
		if target, ok := g.cacheTarget(now, m, nil); ok {
			targets[m.requestID] = target
			s.Transfer = m.transferTime(s.PromptTokens+s.SentTokens, target)
		}
		streams = append(streams, s)
		byID[m.requestID] = m
	}
	d.running = len(streams) > 0
	var first *movableStream
	for _, step := range reclaimer.Plan(streams, remaining, reclaimer.Costs{SharedLink: true}) {
		m := byID[step.RequestID]
		m.logDecision(step.Action, remaining, h.eventTokens[m.deployment], targets[m.requestID])
		if step.Action == reclaimer.MoveKV && first == nil {
			first = m
		}
	}
	if first == nil {
		return nil, Upstream{}, 0
	}
	target := targets[first.requestID]
	first.mu.Lock()
	defer first.mu.Unlock()
	first.tried = true
	return first, target, first.transferTime(first.prompt+int(float64(first.events)*max(1, h.eventTokens[first.deployment])), target)
}

// cacheTarget picks an upstream that may hold the KV cache of a stream: one of the same
// version with a free slot that is neither cold, leaving, nor reclaimed together with the
// source.
func (g *Gateway) cacheTarget(now time.Time, m *movableStream, exclude []string) (Upstream, bool) {
	st := g.state
	st.mu.Lock()
	defer st.mu.Unlock()
	query := router.Request{
		Deployment: m.deployment, Exclude: append([]string{m.upstream.ID}, exclude...), Domains: m.domains, AvoidVersions: st.withdrawnVersions(m.deployment),
	}
	var best Upstream
	bestScore := 0.0
	for _, candidate := range st.router.Eligible(now, query) {
		u, ok := st.upstreamByID[candidate.ID]
		sameDomain := u.FailureDomain == m.upstream.FailureDomain
		if !ok || u.Version != m.upstream.Version || sameDomain && u.Reclaimable || !st.router.Admission(now, u.ID).Allowed() {
			continue
		}
		score := (st.router.EstimatedLoad(now, u.ID) + 1) / float64(max(1, u.Slots))
		if score > 1 {
			continue
		}
		if u.Reclaimable {
			score += reclaimablePenalty
		}
		if !sameDomain {
			score += otherDomainPenalty
		}
		if best.ID == "" || score < bestScore {
			best, bestScore = u, score
		}
	}
	return best, best.ID != ""
}

// move copies the KV cache of a stream while it runs, then stops the run and copies the
// rest, so that the pause is short and a target that refuses costs nothing.
func (g *Gateway) move(ctx context.Context, d *departure, m *movableStream, target Upstream, transfer time.Duration) {
	limit := transferFactor*transfer + cacheCallTime
	var answer CacheAnswer
	var err error
	var refused []string
	for range maxCacheTargets {
		answer, err = g.copyCache(ctx, CacheCopy{RequestID: m.requestID, From: m.upstream, To: target}, limit)
		if err != nil || answer.Outcome != CacheRefused {
			break
		}
		refused = append(refused, target.ID)
		next, ok := g.cacheTarget(g.cfg.Now(), m, refused)
		if !ok {
			break
		}
		target = next
	}
	if err != nil || answer.Outcome != CacheCopied {
		return
	}
	run := movedRun{source: m.upstream, target: target, handle: answer.Handle, holders: []Upstream{target}, sourceUntil: d.noticedAt.Add(g.cfg.MaxLeavingDelay / 2)}
	if !m.beginStop() {
		g.freeCopy(m.requestID, run)
		return
	}
	answer, err = g.copyCache(ctx, CacheCopy{RequestID: m.requestID, From: m.upstream, To: target, Last: true}, max(limit, minStopTime))
	stopped := err == nil && answer.Handle != "" && (answer.Outcome == CacheCopied || answer.Outcome == CacheRefused)
	if answer.Handle != "" {
		run.handle = answer.Handle
	}
	switch {
	case !stopped:
		g.metrics.Count("handovers_failed")
	case answer.Outcome == CacheRefused:
		run.holders = []Upstream{m.upstream}
	default:
		run.holders = append(run.holders, m.upstream)
	}
	if !m.endStop(run, stopped) {
		g.freeCopy(m.requestID, run)
	}
}

// copyCache makes a call, again while another one is in progress.
func (g *Gateway) copyCache(ctx context.Context, call CacheCopy, limit time.Duration) (CacheAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	begun := g.cfg.Now()
	var answer CacheAnswer
	var err error
	tries := 0
	for {
		tries++
		answer, err = g.cfg.CacheMover.Copy(ctx, call)
		if err != nil || answer.Outcome != CacheBusy || tries > maxCacheRetries || !waiter.Pause(ctx, cacheRetryDelay) {
			break
		}
	}
	outcome := string(answer.Outcome)
	if err != nil {
		outcome = "error"
	}
	g.metrics.Count("cache_copies_" + outcome)
	g.cfg.Log.Info().Str("event", "cache_copy").Str("request_id", call.RequestID).Str("upstream", call.From.ID).Str("target", call.To.ID).Bool("last", call.Last).
		Str("outcome", outcome).Int("created", answer.Events).Int("tries", tries).Dur("limit", limit).Dur("took", g.cfg.Now().Sub(begun)).Err(err).Send()
	return answer, err
}

// freeCopy frees the KV cache of a run that does not go on with it: at the source, which
// frees both ends, and at the other holder if the source can't be reached.
func (g *Gateway) freeCopy(requestID string, run movedRun) {
	ctx, cancel := context.WithTimeout(g.abortContext, freeTimeout)
	defer cancel()
	err := g.cfg.CacheMover.Free(ctx, run.source, run.handle)
	if err != nil {
		err = g.cfg.CacheMover.Free(ctx, run.target, run.handle)
	}
	g.metrics.Count("cache_copies_freed")
	g.cfg.Log.Info().Str("event", "cache_copy_freed").Str("request_id", requestID).Str("upstream", run.source.ID).Err(err).Send()
}

// continueMoved begins the next attempt of a call whose run has stopped at its source and
// can go on elsewhere. It returns nil if there is none; what has run then counts as run.
func (g *Gateway) continueMoved(ctx context.Context, c *call, f *failure) *upstreamResponse {
	switch {
	case f.moved != nil:
		c.moved = f.moved
	case c.moved == nil:
		return nil
	case f.verdict == judge.NotRun:
		g.recordFailure(ctx, c, c.upstream, f)
	default:
		// The handle may have been used: the run has broken.
		c.moved = nil
		return nil
	}
	c.exclude = append(c.exclude, c.upstream.ID)
	run := c.moved
	f.standby.discard(c)
	f.standby = nil
	if ctx.Err() != nil || c.disconnected || len(run.holders) == 0 {
		c.moved = nil
		f.verdict, f.busy, f.connectionBroke = judge.MayHaveRun, true, false
		g.metrics.Count("handovers_failed")
		go g.freeCopy(c.request.ID, *run)
		return nil
	}
	u := run.holders[0]
	run.holders = run.holders[1:]
	g.metrics.Count("handovers_continued")
	g.cfg.Log.Info().Str("event", "run_continued").Str("request_id", c.request.ID).Str("upstream", u.ID).Str("source", run.source.ID).
		Str("resumes_from", c.resumeFrom()).Dur("list_age", c.listAge).Send()
	return g.begin(ctx, c, u)
}

// mayContinueAt reports whether a call may go on at its source, which leaves.
func (c *call) mayContinueAt(now time.Time, id string) bool {
	return c.moved != nil && c.moved.source.ID == id && now.Before(c.moved.sourceUntil)
}
