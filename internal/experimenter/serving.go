package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenahitch/galenahitch/pkg/predictor"
	"github.com/galenahitch/galenahitch/pkg/prefixer"
	"github.com/galenahitch/galenahitch/pkg/router"
)

// Constants of the model of batching engines. Each iteration generates one token
// for every running request and prefills one chunk of the oldest prompt that is not
// fully prefilled. Prefill therefore delays the tokens of all other requests, while a
// running request costs next to nothing until the slots are used up.
const (
	iterationTime           = 3820 * time.Microsecond
	iterationTimePerRequest = 11 * time.Microsecond
	prefillTimePerToken     = 14660 * time.Nanosecond // per prompt token
	chunkTokens             = 2048
	servingDuration         = 40 * time.Second
	servingWarmUp           = 10 * time.Second
	// loadReportInterval is the interval at which entries exchange their loads,
	// and loadReportDelay the age of a load when it is received.
	loadReportInterval = 200 * time.Millisecond
	loadReportDelay    = 400 * time.Millisecond
	// tokensPerLoadUnit is the number of prompt tokens to prefill that counts as
	// one request in the load.
	tokensPerLoadUnit = 1500.0
	// reprefillWindow is the time after a request of a session began, on any engine,
	// during which the session's shared prompt parts count as prefilled again if an
	// engine prefills them.
	reprefillWindow = 10 * time.Second
)

// servingClass is a class of requests. A prompt consists of a template, a part
// that all requests of a session share, and a unique part of lognormal length.
// The classes have three templates each and a number of sessions.
type servingClass struct {
	name               string
	share              float64
	templateTokens     int
	sessionTokens      int
	sessions           int
	meanUniqueTokens   float64
	sigma              float64
	meanResponseTokens int
	targetLatency      time.Duration
}

func servingClasses() []servingClass {
	return []servingClass{
		{"review", 0.24, 512, 4870, 104, 6610, 0.9, 384, time.Second},
		{"chat", 0.38, 119, 79, 481, 628, 0.7, 294, 500 * time.Millisecond},
		{"tag", 0.38, 341, 227, 255, 1800, 0.8, 24, 500 * time.Millisecond},
	}
}

// servingFleet is the size of a fleet: engines, the slots and the cache of each
// engine, and entries.
type servingFleet struct {
	engines, slots, entries, cacheTokens int
}

// servingRequest is a request of the model.
type servingRequest struct {
	class             int
	session           string
	promptTokens      int
	unprefilledTokens int
	remainingTokens   int
	arrived           time.Time
	entry             int
	engine            int
	loadAdjustment    float64
	load              predictor.Load
	readTokens        int
}

// parts returns the parts of the prompt.
func (r *servingRequest) parts(c servingClass) []prefixer.Part {
	return []prefixer.Part{
		{ID: fmt.Sprint(r.class, "/", xxhash.Sum64String(r.session)%3), Tokens: c.templateTokens},
		{ID: r.session, Tokens: c.sessionTokens},
		{ID: fmt.Sprint("own", r.arrived.UnixNano(), r.entry), Tokens: r.promptTokens - c.templateTokens - c.sessionTokens},
	}
}

// batchEngine is an engine of the model: requests in the running batch, requests
// whose prompts are being prefilled, queued requests, and an LRU cache of prompt parts.
// leastRecent lists the cached parts, the least recently used first.
type batchEngine struct {
	running         []*servingRequest
	prefilling      []*servingRequest
	waiting         []*servingRequest
	active          bool
	cachedTokens    int
	cachedParts     map[string]int
	leastRecent     []string
	maxCachedTokens int
}

// addToCache adds a prompt part to the cache, or marks it as used if it is
// cached, and evicts the least recently used parts above maxCachedTokens.
func (e *batchEngine) addToCache(id string, tokens int) {
	if _, ok := e.cachedParts[id]; ok {
		for i, other := range e.leastRecent {
			if other == id {
				e.leastRecent = append(append(e.leastRecent[:i:i], e.leastRecent[i+1:]...), id)
				break
			}
		}
		return
	}
	e.cachedParts[id], e.leastRecent = tokens, append(e.leastRecent, id)
	e.cachedTokens += tokens
	for e.cachedTokens > e.maxCachedTokens && len(e.leastRecent) > 1 {
		e.cachedTokens -= e.cachedParts[e.leastRecent[0]]
		delete(e.cachedParts, e.leastRecent[0])
		e.leastRecent = e.leastRecent[1:]
	}
}

// unprefilledTokens returns the number of prompt tokens that the engine has yet to
// prefill.
func (e *batchEngine) unprefilledTokens() int {
	n := 0
	for _, r := range e.prefilling {
		n += r.unprefilledTokens
	}
	for _, r := range e.waiting {
		n += r.unprefilledTokens
	}
	return n
}

// placement is a strategy for choosing the engine of a request.
type placement struct {
	name string
	// usePrefixes routes by the session's prefix. fullState bypasses the router
	// and uses the exact queues and caches of all engines.
	usePrefixes, fullState bool
	// choices is the number of sampled engines of which the least loaded is
	// picked; 0 means all engines.
	choices int
	// weighed decides with an index of prefixes, predicted with the learnt speeds.
	weighed, predicted bool
}

type servingResult struct {
	firstTokenTimes   map[int][]time.Duration
	late              int
	requests          int
	reprefilledTokens int
	sharedTokens      int
	lateByClass       map[int]int
	requestsByClass   map[int]int
}

// simulateServing simulates a fleet. The load is the share of the engines' prefill
// capacity that all prompts would take if nothing were cached.
func simulateServing(seed uint64, fleet servingFleet, load float64, strategy placement) servingResult {
	var t timeline
	random := newRandom(seed, 3)
	classes := servingClasses()
	result := servingResult{firstTokenTimes: map[int][]time.Duration{}, lateByClass: map[int]int{}, requestsByClass: map[int]int{}}
	engines := make([]*batchEngine, fleet.engines)
	var upstreams []router.Upstream
	for i := range engines {
		engines[i] = &batchEngine{cachedParts: map[string]int{}, maxCachedTokens: fleet.cacheTokens}
		upstreams = append(upstreams, router.Upstream{ID: fmt.Sprint(i), Deployment: "d", FailureDomain: fmt.Sprint(i % 4), Slots: fleet.slots})
	}
	penalty := 0.03
	entries := make([]*router.Router, fleet.entries)
	speeds, prefixes := make([]*predictor.Predictor, fleet.entries), make([]*prefixer.Index, fleet.entries)
	for i := range entries {
		cfg := router.Config{EntryID: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 4), Seed: seed, CrossDomainPenalty: &penalty, Choices: strategy.choices}
		if strategy.predicted {
			speeds[i] = predictor.New()
			cfg.Predictor = speeds[i]
		}
		if strategy.weighed {
			prefixes[i] = prefixer.New(prefixer.Config{})
			prefixes[i].SetEntries(fleet.entries)
			prefixes[i].SetMemory("d", fleet.cacheTokens)
			cfg.Prefixes = prefixes[i]
		}
		entries[i] = router.New(cfg)
		entries[i].Replace(epoch, upstreams)
	}
	meanPromptTokens := 0.0
	for _, c := range classes {
		meanPromptTokens += c.share * (float64(c.templateTokens+c.sessionTokens) + c.meanUniqueTokens)
	}
	requestsPerSecond := load * float64(fleet.engines) * float64(time.Second) / float64(prefillTimePerToken) / meanPromptTokens
	lastUse := map[string]time.Time{}
	var iterate func(e *batchEngine) func(time.Time)
	begin := func(now time.Time, e *batchEngine, r *servingRequest) {
		c := classes[r.class]
		templateID := fmt.Sprint(r.class, "/", xxhash.Sum64String(r.session)%3)
		unprefilledPrefix := c.templateTokens + c.sessionTokens
		if _, ok := e.cachedParts[templateID]; ok {
			unprefilledPrefix -= c.templateTokens
			if _, ok := e.cachedParts[r.session]; ok {
				unprefilledPrefix -= c.sessionTokens
			}
		}
		if now.After(epoch.Add(servingWarmUp)) {
			result.sharedTokens += c.templateTokens + c.sessionTokens
			if lastAt, ok := lastUse[r.session]; ok && now.Sub(lastAt) < reprefillWindow {
				result.reprefilledTokens += unprefilledPrefix
			}
		}
		lastUse[r.session] = now
		r.unprefilledTokens = r.promptTokens - c.templateTokens - c.sessionTokens + unprefilledPrefix
		e.prefilling = append(e.prefilling, r)
		e.addToCache(templateID, c.templateTokens)
		e.addToCache(r.session, c.sessionTokens)
		e.addToCache(fmt.Sprint("own", now.UnixNano(), r.entry), r.promptTokens-c.templateTokens-c.sessionTokens)
		if !e.active {
			e.active = true
			t.schedule(now, iterate(e))
		}
	}
	iterate = func(e *batchEngine) func(time.Time) {
		return func(now time.Time) {
			if len(e.running) == 0 && len(e.prefilling) == 0 {
				e.active = false
				return
			}
			duration := iterationTime + iterationTimePerRequest*time.Duration(len(e.running))
			if len(e.prefilling) > 0 {
				r := e.prefilling[0]
				prefilled := min(chunkTokens, r.unprefilledTokens)
				r.unprefilledTokens -= prefilled
				duration += prefillTimePerToken * time.Duration(prefilled)
			}
			t.schedule(now.Add(duration), func(ended time.Time) {
				running := e.running[:0]
				for _, r := range e.running {
					if r.remainingTokens--; r.remainingTokens > 0 {
						running = append(running, r)
						continue
					}
					entries[r.entry].End(fmt.Sprint(r.engine))
				}
				e.running = running
				if len(e.prefilling) > 0 && e.prefilling[0].unprefilledTokens <= 0 {
					r := e.prefilling[0]
					e.prefilling = e.prefilling[1:]
					e.running = append(e.running, r)
					entries[r.entry].AdjustLoad(fmt.Sprint(r.engine), -r.loadAdjustment)
					if strategy.predicted {
						req := predictor.Request{Deployment: "d", ReadTokens: r.readTokens}
						speeds[r.entry].RecordFirstEvent(ended, fmt.Sprint(r.engine), r.load, req, ended.Sub(r.arrived))
					}
					result.record(classes, r, ended)
				}
				for len(e.waiting) > 0 && len(e.running)+len(e.prefilling) < fleet.slots {
					next := e.waiting[0]
					e.waiting = e.waiting[1:]
					begin(ended, e, next)
				}
				iterate(e)(ended)
			})
		}
	}
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		t.schedule(now.Add(exponential(random, time.Duration(float64(time.Second)/requestsPerSecond))), arrive)
		u := random.Float64()
		class := 0
		for class < len(classes)-1 && u >= classes[class].share {
			u -= classes[class].share
			class++
		}
		c := classes[class]
		uniqueTokens := c.meanUniqueTokens * math.Exp(c.sigma*random.NormFloat64()-c.sigma*c.sigma/2)
		r := &servingRequest{
			class: class, session: fmt.Sprint("s", class, "/", random.IntN(c.sessions)), arrived: now, entry: random.IntN(fleet.entries),
			promptTokens: c.templateTokens + c.sessionTokens + int(uniqueTokens), remainingTokens: 1 + random.IntN(2*c.meanResponseTokens),
		}
		r.unprefilledTokens = r.promptTokens
		r.engine = placeRequest(now, random, engines, entries[r.entry], c, r, strategy)
		id := fmt.Sprint(r.engine)
		r.load, r.readTokens = entries[r.entry].PredictorLoad(now, id), r.promptTokens
		if strategy.weighed {
			parts := r.parts(c)
			r.readTokens -= int(prefixes[r.entry].HeldTokens("d", id, parts))
			prefixes[r.entry].RecordSent("d", id, parts)
		}
		r.loadAdjustment = float64(r.promptTokens) / tokensPerLoadUnit
		entries[r.entry].Begin(id)
		entries[r.entry].AdjustLoad(id, r.loadAdjustment)
		e := engines[r.engine]
		if len(e.running)+len(e.prefilling) < fleet.slots {
			begin(now, e, r)
		} else {
			e.waiting = append(e.waiting, r)
		}
	}
	t.schedule(epoch, arrive)
	var reportLoad func(now time.Time)
	reportLoad = func(now time.Time) {
		total := map[string]float64{}
		ownLoads := make([]map[string]float64, len(entries))
		for i, entry := range entries {
			ownLoads[i] = entry.OwnLoad()
			for id, load := range ownLoads[i] {
				total[id] += load
			}
		}
		t.schedule(now.Add(loadReportDelay), func(later time.Time) {
			for i, entry := range entries {
				for id, load := range total {
					entry.SetRemoteLoad(later, id, load-ownLoads[i][id])
				}
			}
		})
		t.schedule(now.Add(loadReportInterval), reportLoad)
	}
	t.schedule(epoch, reportLoad)
	t.runUntil(epoch.Add(servingDuration))
	return result
}

// placeRequest returns the index of the engine for a request.
func placeRequest(now time.Time, random *rand.Rand, engines []*batchEngine, entry *router.Router, c servingClass, r *servingRequest, strategy placement) int {
	if strategy.fullState {
		best, lowest := 0, math.Inf(1)
		start := random.IntN(len(engines))
		for i := range engines {
			index := (start + i) % len(engines)
			e := engines[index]
			cost := float64(e.unprefilledTokens())
			if _, ok := e.cachedParts[r.session]; !ok {
				cost += float64(c.sessionTokens)
			}
			if cost < lowest {
				best, lowest = index, cost
			}
		}
		return best
	}
	req := router.Request{Deployment: "d"}
	if strategy.usePrefixes && c.templateTokens+c.sessionTokens >= 500 {
		req.PrefixHash = xxhash.Sum64String(r.session)
		if strategy.weighed {
			req.Parts, req.SharedTokens = r.parts(c), c.templateTokens+c.sessionTokens
		}
	}
	req.Work = 1 + float64(r.promptTokens)/tokensPerLoadUnit
	u, _ := entry.Pick(now, req)
	index := 0
	_, _ = fmt.Sscan(u.ID, &index)
	return index
}

func (res *servingResult) record(classes []servingClass, r *servingRequest, now time.Time) {
	if r.arrived.Before(epoch.Add(servingWarmUp)) {
		return
	}
	elapsed := now.Sub(r.arrived)
	res.firstTokenTimes[r.class] = append(res.firstTokenTimes[r.class], elapsed)
	res.requests++
	res.requestsByClass[r.class]++
	if elapsed > classes[r.class].targetLatency {
		res.late++
		res.lateByClass[r.class]++
	}
}

// runServing compares placements of sessions on batching engines.
func runServing(cfg Config) error {
	classes := servingClasses()
	for _, fleet := range []servingFleet{{16, 32, 9, 550_000}, {80, 12, 81, 395_000}} {
		rows := [][]string{cells("load|way|late|reviews late|chats late|tags late|chat p95|shared parts read again")}
		for _, load := range []float64{0.3, 0.45, 0.6} {
			for _, variant := range []placement{
				{name: "least loaded"},
				{name: "bounded", usePrefixes: true},
				{name: "bounded, 2", usePrefixes: true, choices: 2},
				{name: "bounded, 3", usePrefixes: true, choices: 3},
				{name: "weighed, 3", usePrefixes: true, choices: 3, weighed: true},
				{name: "weighed and predicted, 3", usePrefixes: true, choices: 3, weighed: true, predicted: true},
				{name: "all-knowing", fullState: true},
			} {
				r := simulateServing(cfg.Seed, fleet, load, variant)
				share := func(class int) float64 {
					return 100 * float64(r.lateByClass[class]) / float64(max(1, r.requestsByClass[class]))
				}
				rows = append(rows, cells("%.1f|%s|%.1f%%|%.1f%%|%.1f%%|%.1f%%|%s|%.1f%%", load, variant.name,
					100*float64(r.late)/float64(max(1, r.requests)), share(0), share(1), share(2),
					quantile(r.firstTokenTimes[1], 0.95).Round(time.Millisecond), 100*float64(r.reprefilledTokens)/float64(max(1, r.sharedTokens))))
			}
		}
		printTable(cfg.Out, fmt.Sprintf("serving, %d engines of %d slots, %d entries, %d kinds of request, seed %d",
			fleet.engines, fleet.slots, fleet.entries, len(classes), cfg.Seed), rows...)
	}
	return nil
}
