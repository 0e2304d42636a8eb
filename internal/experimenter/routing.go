package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenahitch/galenahitch/pkg/router"
)

const (
	routingEngines     = 20
	routingEntries     = 6
	routingSlots       = 8
	routingDomains     = 4
	routingPrefixes    = 400
	routingCacheSize   = 40
	prefixTokens       = 600
	uniquePromptTokens = 100
	meanResponseTokens = 80
	timePerToken       = 30 * time.Millisecond
	prefillPerToken    = 400 * time.Microsecond
	maxReportDelay     = time.Second
	routingDuration    = 4 * time.Minute
	routingWarmUp      = time.Minute
)

// picker picks an engine for a request that an entry received.
type picker interface {
	pick(now time.Time, entry, prefix int) int
	begin(entry, engine int)
	end(entry, engine int)
	reportLoad(now time.Time, engine, running int)
}

// roundRobin and leastInFlight are the baselines. They ignore load reports and
// prefixes.
type roundRobin struct{ next [routingEntries]int }

func (p *roundRobin) pick(_ time.Time, entry, _ int) int {
	p.next[entry]++
	return (p.next[entry] + entry*3) % routingEngines
}
func (*roundRobin) begin(int, int)                 {}
func (*roundRobin) end(int, int)                   {}
func (*roundRobin) reportLoad(time.Time, int, int) {}

type leastInFlight struct {
	inFlight [routingEntries][routingEngines]int
	random   *rand.Rand
}

func (p *leastInFlight) pick(_ time.Time, entry, _ int) int {
	best := p.random.IntN(routingEngines)
	for e := range routingEngines {
		if p.inFlight[entry][e] < p.inFlight[entry][best] {
			best = e
		}
	}
	return best
}
func (p *leastInFlight) begin(entry, engine int)      { p.inFlight[entry][engine]++ }
func (p *leastInFlight) end(entry, engine int)        { p.inFlight[entry][engine]-- }
func (*leastInFlight) reportLoad(time.Time, int, int) {}

// routerPicker picks with the routers that entries run, one per entry.
type routerPicker struct {
	routers     [routingEntries]*router.Router
	engineIndex map[string]int
	usePrefixes bool
}

func newRouterPicker(seed uint64, usePrefixes bool) *routerPicker {
	c := &routerPicker{engineIndex: map[string]int{}, usePrefixes: usePrefixes}
	var upstreams []router.Upstream
	for e := range routingEngines {
		id := fmt.Sprintf("engine-%02d", e)
		c.engineIndex[id] = e
		upstreams = append(upstreams, router.Upstream{ID: id, Deployment: "d", Version: "v1", FailureDomain: fmt.Sprint(e % routingDomains), Slots: routingSlots})
	}
	for e := range c.routers {
		c.routers[e] = router.New(router.Config{EntryID: fmt.Sprint(e), Seed: seed})
		c.routers[e].SetEntryCount(routingEntries)
		c.routers[e].Replace(epoch, upstreams)
	}
	return c
}

func (p *routerPicker) pick(now time.Time, entry, prefix int) int {
	req := router.Request{Deployment: "d"}
	if p.usePrefixes {
		req.PrefixHash = uint64(prefix)*0x9e3779b97f4a7c15 + 1
	}
	u, _ := p.routers[entry].Pick(now, req)
	return p.engineIndex[u.ID]
}

func (p *routerPicker) begin(entry, engine int) {
	p.routers[entry].Begin(fmt.Sprintf("engine-%02d", engine))
}

func (p *routerPicker) end(entry, engine int) {
	p.routers[entry].End(fmt.Sprintf("engine-%02d", engine))
}

func (p *routerPicker) reportLoad(now time.Time, engine, running int) {
	for _, entry := range p.routers {
		entry.SetReportedLoad(now, fmt.Sprintf("engine-%02d", engine), running, routingSlots)
	}
}

// cachingEngine is an engine with a number of slots, a FIFO queue and an LRU
// cache of prefixes.
type cachingEngine struct {
	running int
	queue   []func(now time.Time)
	cache   []int
	served  int
}

// usePrefix marks a prefix as the most recently used one and reports whether it
// was cached before.
func (e *cachingEngine) usePrefix(prefix int) bool {
	for i, cached := range e.cache {
		if cached == prefix {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), prefix)
			return true
		}
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > routingCacheSize {
		e.cache = e.cache[1:]
	}
	return false
}

type routingResult struct {
	firstTokenTimes  []time.Duration
	recomputedTokens int
	requests         int
	maxShare         float64
}

func simulateRouting(seed uint64, load float64, c picker) routingResult {
	var t timeline
	var result routingResult
	random := newRandom(seed, 0)
	zipf := rand.NewZipf(random, 1.1, 4, routingPrefixes-1)
	engines := make([]*cachingEngine, routingEngines)
	for e := range engines {
		engines[e] = &cachingEngine{}
	}
	meanServiceTime := prefillPerToken*(prefixTokens/2+uniquePromptTokens) + timePerToken*meanResponseTokens
	meanGap := time.Duration(float64(meanServiceTime) / (load * routingEngines * routingSlots))
	warmUpEnd := epoch.Add(routingWarmUp)
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		entry, prefix := random.IntN(routingEntries), int(zipf.Uint64())
		index := c.pick(now, entry, prefix)
		c.begin(entry, index)
		engine := engines[index]
		run := func(started time.Time) {
			engine.running++
			recomputed := 0
			if !engine.usePrefix(prefix) {
				recomputed = prefixTokens
			}
			firstToken := started.Add(prefillPerToken * time.Duration(recomputed+uniquePromptTokens))
			if now.After(warmUpEnd) {
				result.firstTokenTimes = append(result.firstTokenTimes, firstToken.Sub(now))
				result.recomputedTokens += recomputed
				result.requests++
				engine.served++
			}
			tokens := 1 + random.IntN(2*meanResponseTokens)
			t.schedule(firstToken.Add(timePerToken*time.Duration(tokens)), func(ended time.Time) {
				engine.running--
				c.end(entry, index)
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
		t.schedule(now.Add(exponential(random, meanGap)), arrive)
	}
	t.schedule(epoch, arrive)
	var report func(now time.Time)
	report = func(now time.Time) {
		for e, engine := range engines {
			running := engine.running + len(engine.queue)
			t.schedule(now.Add(time.Duration(random.Int64N(int64(maxReportDelay)))), func(later time.Time) { c.reportLoad(later, e, running) })
		}
		t.schedule(now.Add(time.Second), report)
	}
	t.schedule(epoch, report)
	t.runUntil(epoch.Add(routingDuration))
	for _, engine := range engines {
		result.maxShare = max(result.maxShare, float64(engine.served)/float64(max(1, result.requests)))
	}
	return result
}

// runRouting compares methods of picking an engine at equal load.
func runRouting(cfg Config) error {
	rows := [][]string{cells("load|way|requests|first token p50|p95|p99|recomputed tokens a request|largest share")}
	for _, load := range []float64{0.5, 0.7, 0.85} {
		for _, variant := range []struct {
			name string
			make func() picker
		}{
			{"round robin", func() picker { return &roundRobin{} }},
			{"least in flight", func() picker { return &leastInFlight{random: newRandom(cfg.Seed, 9)} }},
			{"router, no prefixes", func() picker { return newRouterPicker(cfg.Seed, false) }},
			{"router", func() picker { return newRouterPicker(cfg.Seed, true) }},
		} {
			r := simulateRouting(cfg.Seed, load, variant.make())
			rows = append(rows, cells("%.2f|%s|%d|%s|%s|%s|%.0f|%.1f%%", load, variant.name, r.requests,
				quantile(r.firstTokenTimes, 0.5).Round(time.Millisecond), quantile(r.firstTokenTimes, 0.95).Round(time.Millisecond),
				quantile(r.firstTokenTimes, 0.99).Round(time.Millisecond), float64(r.recomputedTokens)/float64(max(1, r.requests)), 100*r.maxShare))
		}
	}
	printTable(cfg.Out, fmt.Sprintf("routing, %d engines of %d slots, %d entries, seed %d (even share %.1f%%)",
		routingEngines, routingSlots, routingEntries, cfg.Seed, 100.0/routingEngines), rows...)
	return nil
}
