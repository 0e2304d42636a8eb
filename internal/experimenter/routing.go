package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenahitch/galenahitch/pkg/router"
)

const (
	routingEngines  = 20
	routingEntries  = 6
	routingSlots    = 8
	routingDomains  = 4
	routingPrefixes = 400
	routingCache    = 40
	prefixTokens    = 600
	ownTokens       = 100
	answerTokens    = 80
	tokenTime       = 30 * time.Millisecond
	prefillTime     = 400 * time.Microsecond
	reportLag       = time.Second
	routingTime     = 4 * time.Minute
	routingWarm     = time.Minute
)

// chooser picks an engine for a request that came to an entry.
type chooser interface {
	pick(now time.Time, entry, prefix int) int
	begin(entry, engine int)
	end(entry, engine int)
	report(now time.Time, engine, running int)
}

// roundRobin and leastInFlight are the plain baselines.
type roundRobin struct{ next [routingEntries]int }

func (c *roundRobin) pick(_ time.Time, entry, _ int) int {
	c.next[entry]++
	return (c.next[entry] + entry*3) % routingEngines
}
func (*roundRobin) begin(int, int)             {}
func (*roundRobin) end(int, int)               {}
func (*roundRobin) report(time.Time, int, int) {}

type leastInFlight struct {
	own    [routingEntries][routingEngines]int
	random *rand.Rand
}

func (c *leastInFlight) pick(_ time.Time, entry, _ int) int {
	best := c.random.IntN(routingEngines)
	for e := range routingEngines {
		if c.own[entry][e] < c.own[entry][best] {
			best = e
		}
	}
	return best
}
func (c *leastInFlight) begin(entry, engine int)  { c.own[entry][engine]++ }
func (c *leastInFlight) end(entry, engine int)    { c.own[entry][engine]-- }
func (*leastInFlight) report(time.Time, int, int) {}

// routed is the router that entries run.
type routed struct {
	entries [routingEntries]*router.Router
	index   map[string]int
	prefix  bool
}

func newRouted(seed uint64, prefix bool) *routed {
	c := &routed{index: map[string]int{}, prefix: prefix}
	var list []router.Upstream
	for e := range routingEngines {
		id := fmt.Sprintf("engine-%02d", e)
		c.index[id] = e
		list = append(list, router.Upstream{ID: id, Deployment: "d", Version: "v1", FailureDomain: fmt.Sprint(e % routingDomains), Slots: routingSlots})
	}
	for e := range c.entries {
		c.entries[e] = router.New(router.Config{EntryID: fmt.Sprint(e), Seed: seed})
		c.entries[e].SetEntryCount(routingEntries)
		c.entries[e].Replace(epoch, list)
	}
	return c
}

func (c *routed) pick(now time.Time, entry, prefix int) int {
	ask := router.Request{Deployment: "d"}
	if c.prefix {
		ask.PrefixHash = uint64(prefix)*0x9e3779b97f4a7c15 + 1
	}
	u, _ := c.entries[entry].Pick(now, ask)
	return c.index[u.ID]
}

func (c *routed) begin(entry, engine int) { c.entries[entry].Begin(fmt.Sprintf("engine-%02d", engine)) }

func (c *routed) end(entry, engine int) { c.entries[entry].End(fmt.Sprintf("engine-%02d", engine)) }

func (c *routed) report(now time.Time, engine, running int) {
	for _, entry := range c.entries {
		entry.SetReportedLoad(now, fmt.Sprintf("engine-%02d", engine), running, routingSlots)
	}
}

// modelEngine serves a number of requests at once and caches prefixes, the
// least recently used of which goes first.
type modelEngine struct {
	running int
	queue   []func(now time.Time)
	cache   []int
	served  int
}

// hit uses a prefix and reports whether it was cached.
func (e *modelEngine) hit(prefix int) bool {
	for i, cached := range e.cache {
		if cached == prefix {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), prefix)
			return true
		}
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > routingCache {
		e.cache = e.cache[1:]
	}
	return false
}

type routingResult struct {
	first      []time.Duration
	recomputed int
	requests   int
	largest    float64
}

func simulateRouting(seed uint64, load float64, c chooser) routingResult {
	var t timeline
	var result routingResult
	random := newRandom(seed, 0)
	zipf := rand.NewZipf(random, 1.1, 4, routingPrefixes-1)
	engines := make([]*modelEngine, routingEngines)
	for e := range engines {
		engines[e] = &modelEngine{}
	}
	service := prefillTime*(prefixTokens/2+ownTokens) + tokenTime*answerTokens
	gap := time.Duration(float64(service) / (load * routingEngines * routingSlots))
	measured := epoch.Add(routingWarm)
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		entry, prefix := random.IntN(routingEntries), int(zipf.Uint64())
		at := c.pick(now, entry, prefix)
		c.begin(entry, at)
		engine := engines[at]
		run := func(started time.Time) {
			engine.running++
			missed := 0
			if !engine.hit(prefix) {
				missed = prefixTokens
			}
			first := started.Add(prefillTime * time.Duration(missed+ownTokens))
			if now.After(measured) {
				result.first = append(result.first, first.Sub(now))
				result.recomputed += missed
				result.requests++
				engine.served++
			}
			tokens := 1 + random.IntN(2*answerTokens)
			t.at(first.Add(tokenTime*time.Duration(tokens)), func(ended time.Time) {
				engine.running--
				c.end(entry, at)
				if len(engine.queue) > 0 {
					next := engine.queue[0]
					engine.queue = engine.queue[1:]
					next(ended)
				}
			})
		}
		if engine.running < routingSlots {
			run(now)
		} else {
			engine.queue = append(engine.queue, run)
		}
		t.at(now.Add(exponential(random, gap)), arrive)
	}
	t.at(epoch, arrive)
	var report func(now time.Time)
	report = func(now time.Time) {
		for e, engine := range engines {
			running := engine.running + len(engine.queue)
			t.at(now.Add(time.Duration(random.Int64N(int64(reportLag)))), func(later time.Time) { c.report(later, e, running) })
		}
		t.at(now.Add(time.Second), report)
	}
	t.at(epoch, report)
	t.runUntil(epoch.Add(routingTime))
	for _, engine := range engines {
		result.largest = max(result.largest, float64(engine.served)/float64(max(1, result.requests)))
	}
	return result
}

// runRouting compares ways of choosing an engine at equal load.
func runRouting(cfg Config) error {
	rows := [][]string{cells("load|way|requests|first token p50|p95|p99|recomputed tokens a request|largest share")}
	for _, load := range []float64{0.5, 0.7, 0.85} {
		for _, way := range []struct {
			name string
			make func() chooser
		}{
			{"round robin", func() chooser { return &roundRobin{} }},
			{"least in flight", func() chooser { return &leastInFlight{random: newRandom(cfg.Seed, 9)} }},
			{"router, no prefixes", func() chooser { return newRouted(cfg.Seed, false) }},
			{"router", func() chooser { return newRouted(cfg.Seed, true) }},
		} {
			r := simulateRouting(cfg.Seed, load, way.make())
			rows = append(rows, cells("%.2f|%s|%d|%s|%s|%s|%.0f|%.1f%%", load, way.name, r.requests,
				quantile(r.first, 0.5).Round(time.Millisecond), quantile(r.first, 0.95).Round(time.Millisecond),
				quantile(r.first, 0.99).Round(time.Millisecond), float64(r.recomputed)/float64(max(1, r.requests)), 100*r.largest))
		}
	}
	table(cfg.Out, fmt.Sprintf("routing, %d engines of %d slots, %d entries, seed %d (even share %.1f%%)",
		routingEngines, routingSlots, routingEntries, cfg.Seed, 100.0/routingEngines), rows...)
	return nil
}
