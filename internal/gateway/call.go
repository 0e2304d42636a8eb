package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenahitch/galenahitch/internal/pooler"
	"github.com/galenahitch/galenahitch/pkg/judge"
	"github.com/galenahitch/galenahitch/pkg/resolver"
	"github.com/galenahitch/galenahitch/pkg/router"
	"github.com/galenahitch/galenahitch/pkg/throttler"
)

const (
	// mostSends bounds the upstreams that get one request, those that refuse it
	// included.
	mostSends = 4
	// leastReserve is the share of a quota's burst that the least urgent requests
	// leave to others.
	leastReserve = 0.5
	// leastSpread is the shortest time over which callers that a quota refused are
	// asked to return.
	leastSpread = 50 * time.Millisecond
	// promptUnit is the number of prompt tokens whose reading delays an engine's
	// other requests as much as one more running request does.
	promptUnit = 1500.0
	// unreachableRest is how long an upstream that takes no connection gets no
	// requests.
	unreachableRest = time.Second
)

// call is one caller's request on its way to an answer. It belongs to the
// goroutine that serves it.
type call struct {
	ask      Request
	body     []byte
	route    resolver.Route
	org      *resolver.Organisation
	resolver *resolver.Resolver
	arrived  time.Time
	deadline time.Time

	deployment string
	// prefix is the hash of what its prompt shares with others, known once it is
	// placed: another attempt is not another request of its session.
	prefix uint64
	placed bool
	cost   float64
	// sends counts upstreams that got the request, runs those of them that may
	// have run it.
	sends   int
	runs    int
	exclude []string

	upstream Upstream
	// met is the load that the upstream had when it got the call.
	met    float64
	status int
	first  time.Duration
	// took is the time to the first event or the answer of the present attempt.
	took time.Duration
	// answering says that part of an answer has gone to the caller, last which
	// event of a stream was the last one.
	answering bool
	last      string
	begun     bool
	gone      bool
	finished  bool
}

// failure is an attempt that brought no whole answer.
type failure struct {
	verdict judge.Verdict
	// unsent says that the upstream got nothing of the request.
	unsent bool
	// busy says that the upstream may be well but takes no more, or not from this
	// entry.
	busy bool
	// elsewhere says that the address is now that of another upstream.
	elsewhere bool
	// paid says that the retry was taken from the budget already.
	paid  bool
	cause error
}

// carry brings a call through its attempts. It returns nil once the caller has
// a whole answer, or the reason why it gets none.
func (g *Gateway) carry(parent context.Context, w http.ResponseWriter, c *call) *judge.Refusal {
	if refusal := g.admit(c); refusal != nil {
		return refusal
	}
	defer g.settle(c)
	ctx, cancel := g.bound(parent, c)
	defer cancel()
	for {
		upstream, ok := g.choose(c)
		if !ok {
			return g.none(c)
		}
		f := g.attempt(ctx, w, c, upstream)
		if f == nil {
			return nil
		}
		g.judge(ctx, c, upstream, f)
		if ctx.Err() != nil || c.gone {
			return g.ended(ctx, c, f)
		}
		if !g.again(c, f) {
			return g.failed(c, f)
		}
		c.exclude = append(c.exclude, upstream.ID)
		g.measures.Count("retries")
	}
}

// admit takes a call's cost from its organisation's quota.
func (g *Gateway) admit(c *call) *judge.Refusal {
	now := g.cfg.Now()
	b := g.state
	b.mu.Lock()
	defer b.mu.Unlock()
	c.deployment = c.route.Pick(b.random.Float64())
	if c.org == nil {
		return nil
	}
	c.cost = c.org.Cost(c.ask.PromptTokens + c.ask.MaxResponseTokens)
	limit := throttler.Limit{Rate: c.org.Rate, Burst: c.org.Burst}
	ok, wait := b.quoter.Spend(now, c.org.Name, limit, throttler.Ask{Cost: c.cost, Reserve: c.resolver.Rank(c.route) * leastReserve})
	if ok {
		return nil
	}
	c.cost = 0
	refusal := judge.Refuse(judge.CodeOverloaded, judge.NotRun, "the quota of "+c.org.Name+" is used up")
	spread := max(leastSpread, b.quoter.Spread(now, c.org.Name, limit))
	return refusal.WithRetryAfter(wait + time.Duration(b.random.Int64N(int64(spread))))
}

// settle gives back what a call that no upstream ran has cost.
func (g *Gateway) settle(c *call) {
	if c.runs > 0 || c.cost == 0 {
		return
	}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.quoter.Refund(c.org.Name, c.cost)
}

// choose picks the upstream of the next attempt.
func (g *Gateway) choose(c *call) (Upstream, bool) {
	now := g.cfg.Now()
	b := g.state
	b.mu.Lock()
	defer b.mu.Unlock()
	ask := router.Request{Deployment: c.deployment, Exclude: c.exclude}
	if !c.placed {
		c.placed = true
		if shared := b.promptHistory.shared(c.ask.PromptParts); shared != "" {
			c.prefix = xxhash.Sum64String(shared)
		}
	}
	ask.PrefixHash = c.prefix
	b.steer(now, c, &ask)
	picked, ok := b.router.Pick(now, ask)
	if !ok || b.unreachableDomains[picked.FailureDomain] {
		// A domain that is cut off is picked only where no other is left.
		return Upstream{}, false
	}
	u, ok := b.upstreamByID[picked.ID]
	return u, ok
}

// attempt sends a call to an upstream and relays the answer. It returns nil
// once the caller has a whole answer.
func (g *Gateway) attempt(ctx context.Context, w http.ResponseWriter, c *call, u Upstream) *failure {
	now := g.cfg.Now()
	c.upstream, c.took = u, 0
	ctx, watch := g.watch(ctx, c)
	defer watch.stop()
	load := float64(c.ask.PromptTokens) / promptUnit
	g.enter(now, c, load)
	eased := false
	ease := func() {
		if !eased {
			eased = true
			g.weigh(u.ID, -load)
		}
	}
	defer func() {
		ease()
		g.leave(c)
	}()
	header := c.ask.Header.Clone()
	told := Attempt{Upstream: u.Name, TimeLeft: c.deadline.Sub(now), Priority: c.route.Priority, LastEventID: c.after()}
	if c.org != nil {
		told.Organisation = c.org.Name
		if c.org.Priority != nil {
			told.Priority = *c.org.Priority
		}
	}
	g.cfg.Codec.SetAttempt(header, told)
	answer, err := g.pool.Do(ctx, u.Address, pooler.Request{
		ID: c.ask.ID, Method: c.ask.Method, Target: c.ask.Target, Host: c.ask.Host, Header: header, Body: c.body,
	})
	if err != nil {
		verdict := judge.VerdictOf(err)
		return &failure{verdict: verdict, unsent: verdict == judge.NotRun, paid: watch.paid.Load(), busy: pooler.IsFull(err), cause: err}
	}
	defer answer.Close()
	reply := g.cfg.Codec.Response(answer.Status, answer.Header)
	if reply.Verdict == judge.NotRun {
		return &failure{
			verdict: judge.NotRun, busy: !reply.Misdirected, elsewhere: reply.Misdirected,
			cause: judge.Errorf(judge.NotRun, "the upstream refused it with status %d", answer.Status),
		}
	}
	f := g.relay(ctx, w, c, &relayed{answer: answer, reply: reply, sentAt: now, ease: ease, watch: watch})
	if f != nil {
		f.paid = f.paid || watch.paid.Load()
	}
	return f
}

// after is the last event that the caller has.
func (c *call) after() string {
	if c.last != "" {
		return c.last
	}
	return c.ask.LastEventID
}

func (g *Gateway) enter(now time.Time, c *call, load float64) {
	b := g.state
	b.mu.Lock()
	defer b.mu.Unlock()
	c.met = b.router.EstimatedLoad(now, c.upstream.ID)
	b.router.Begin(c.upstream.ID)
	b.router.AdjustLoad(c.upstream.ID, load)
	d := b.demandFor(c.deployment)
	d.Running++
	if c.sends == 0 {
		d.ask(now, c.ask.PromptTokens)
		if w, ok := b.retryBudgets[c.deployment]; ok {
			w.Request(now)
		}
	}
	c.sends++
}

func (g *Gateway) weigh(id string, change float64) {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.router.AdjustLoad(id, change)
}

func (g *Gateway) leave(c *call) {
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.router.End(c.upstream.ID)
	g.state.demandFor(c.deployment).Running--
}

// judge records what a failed attempt says about its upstream.
func (g *Gateway) judge(ctx context.Context, c *call, u Upstream, f *failure) {
	if f.verdict != judge.NotRun {
		c.runs++
	}
	g.measures.Count("attempts_failed")
	now := g.cfg.Now()
	b := g.state
	b.mu.Lock()
	switch {
	case f.elsewhere:
		b.router.MarkLeaving(now, u.ID, 0)
	case c.gone || f.busy || ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline):
		// Neither a caller that leaves nor a full queue is the upstream's fault.
	case f.unsent:
		b.connectFailedAt[u.FailureDomain] = now
		b.router.Suspect(u.ID, now.Add(unreachableRest))
	default:
		b.router.RecordFailure(now, u.ID)
		b.outcome(c, u, true, c.took)
	}
	listed := now.Sub(b.listUpdatedAt)
	b.mu.Unlock()
	g.cfg.Log.Info().Str("event", "attempt_failed").Str("request_id", c.ask.ID).Str("upstream", u.ID).
		Str("verdict", string(f.verdict)).Bool("busy", f.busy).Int("sends", c.sends).Dur("list_age", listed).Err(f.cause).Send()
}

// again decides whether another upstream may get the call.
func (g *Gateway) again(c *call, f *failure) bool {
	if c.sends >= mostSends || c.answering && c.route.Kind != resolver.Streaming {
		return false
	}
	if f.verdict != judge.NotRun && (!c.route.Retryable() || c.runs >= c.route.Attempts) {
		return false
	}
	return f.unsent || f.paid || g.pay(c.deployment)
}

// mayRepeat reports whether a call that has run once more may run again, and
// takes that from the budget.
func (g *Gateway) mayRepeat(c *call) bool {
	return c.mayMove() && g.others(c.deployment, append(slices.Clone(c.exclude), c.upstream.ID)) && g.pay(c.deployment)
}

// pay takes a retry from a deployment's budget.
func (g *Gateway) pay(deployment string) bool {
	b := g.state
	now := g.cfg.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.retryBudgets[deployment]
	return ok && w.Take(now)
}

// none refuses a call for which there is no upstream.
func (g *Gateway) none(c *call) *judge.Refusal {
	if c.runs > 0 {
		return judge.Refuse(judge.CodeUpstreamFailed, judge.MayHaveRun, "no other upstream takes it")
	}
	return judge.Refuse(judge.CodeNoUpstream, judge.NotRun, "no upstream of "+c.deployment+" takes work").WithRetryAfter(g.state.jitter(comeBack))
}

// ended refuses a call whose time is over or whose caller has left.
func (g *Gateway) ended(ctx context.Context, c *call, f *failure) *judge.Refusal {
	cause := context.Cause(ctx)
	if cause == nil || errors.Is(cause, errGone) {
		c.gone, cause = true, errGone
	}
	if c.runs == 0 {
		refusal := judge.Refuse(judge.CodeDeadline, judge.NotRun, cause.Error()).WithRetryAfter(g.state.jitter(comeBack))
		refusal.Status = http.StatusServiceUnavailable
		return refusal
	}
	return judge.Refuse(judge.CodeDeadline, f.verdict, cause.Error())
}

// failed refuses a call after its last attempt.
func (g *Gateway) failed(c *call, f *failure) *judge.Refusal {
	if c.runs == 0 {
		return judge.Refuse(judge.CodeNoUpstream, judge.NotRun, f.cause.Error()).WithRetryAfter(g.state.jitter(comeBack))
	}
	return judge.Refuse(judge.CodeUpstreamFailed, judge.MayHaveRun, f.cause.Error())
}
