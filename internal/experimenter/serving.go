package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenahitch/galenahitch/pkg/router"
)

// The model of batched engines: one iteration makes a token for each running
// request and reads a chunk of the oldest prompt that waits. So prompts that are
// read delay the tokens of all others, while running requests cost next to
// nothing until the slots are used up.
const (
	iterationTime           = 3820 * time.Microsecond
	iterationTimePerRequest = 11 * time.Microsecond
	readTimePerToken        = 14660 * time.Nanosecond // for each token that is read
	chunkTokens             = 2048
	servingDuration         = 40 * time.Second
	servingWarmUp           = 10 * time.Second
	// loadReportInterval is how often entries hear of each other's load, and hearLag how
	// old that is then.
	loadReportInterval = 200 * time.Millisecond
	loadReportDelay    = 400 * time.Millisecond
	// tokensPerLoadUnit is the number of tokens to be read that counts as one request.
	tokensPerLoadUnit = 1500.0
	// rereadWindow is how long a shared part that is read again counts as waste.
	rereadWindow = 10 * time.Second
)

// servingClass is a kind of request.
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

// servingFleet is a number of engines and entries.
type servingFleet struct {
	engines, slots, entries, cacheTokens int
}

// servingRequest is a request of the model.
type servingRequest struct {
	class           int
	session         string
	promptTokens    int
	unreadTokens    int
	remainingTokens int
	arrived         time.Time
	entry           int
	engine          int
	loadAdjustment  float64
}

// batchEngine is one engine of the model.
type batchEngine struct {
	running         []*servingRequest
	reading         []*servingRequest
	waiting         []*servingRequest
	active          bool
	cachedTokens    int
	cachedParts     map[string]int
	leastRecent     []string
	maxCachedTokens int
}

// addToCache takes a part into the cache, the least recently used of which go.
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

// unreadTokens is the number of prompt tokens that the engine has yet to read.
func (e *batchEngine) unreadTokens() int {
	n := 0
	for _, r := range e.reading {
		n += r.unreadTokens
	}
	for _, r := range e.waiting {
		n += r.unreadTokens
	}
	return n
}

// placement chooses engines for the model.
type placement struct {
	name string
	// usePrefixes sends sessions to their own engines, fullState knows what engines hold.
	usePrefixes, fullState bool
	// choices is the number of engines of which the least loaded is taken.
	choices int
}

type servingResult struct {
	firstTokenTimes map[int][]time.Duration
	late            int
	requests        int
	rereadTokens    int
	sharedTokens    int
	lateByClass     map[int]int
	requestsByClass map[int]int
}

// simulateServing plays requests at a load, which is the share of the engines'
// reading speed that all prompts would take if nothing were kept.
func simulateServing(seed uint64, fleet servingFleet, load float64, way placement) servingResult {
	var t timeline
	random := newRandom(seed, 3)
	classes := servingClasses()
	result := servingResult{firstTokenTimes: map[int][]time.Duration{}, lateByClass: map[int]int{}, requestsByClass: map[int]int{}}
	engines := make([]*batchEngine, fleet.engines)
	var list []router.Upstream
	for i := range engines {
		engines[i] = &batchEngine{cachedParts: map[string]int{}, maxCachedTokens: fleet.cacheTokens}
		list = append(list, router.Upstream{ID: fmt.Sprint(i), Deployment: "d", FailureDomain: fmt.Sprint(i % 4), Slots: fleet.slots})
	}
	penalty := 0.03
	entries := make([]*router.Router, fleet.entries)
	for i := range entries {
		entries[i] = router.New(router.Config{EntryID: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 4), Seed: seed, CrossDomainPenalty: &penalty, Choices: way.choices})
		entries[i].Replace(epoch, list)
	}
	mean := 0.0
	for _, c := range classes {
		mean += c.share * (float64(c.templateTokens+c.sessionTokens) + c.meanUniqueTokens)
	}
	perSecond := load * float64(fleet.engines) * float64(time.Second) / float64(readTimePerToken) / mean
	lastUse := map[string]time.Time{}
	var iterate func(e *batchEngine) func(time.Time)
	begin := func(now time.Time, e *batchEngine, r *servingRequest) {
		c := classes[r.class]
		template := fmt.Sprint(r.class, "/", xxhash.Sum64String(r.session)%3)
		missed := c.templateTokens + c.sessionTokens
		if _, ok := e.cachedParts[template]; ok {
			missed -= c.templateTokens
			if _, ok := e.cachedParts[r.session]; ok {
				missed -= c.sessionTokens
			}
		}
		if now.After(epoch.Add(servingWarmUp)) {
			result.sharedTokens += c.templateTokens + c.sessionTokens
			if at, ok := lastUse[r.session]; ok && now.Sub(at) < rereadWindow {
				result.rereadTokens += missed
			}
		}
		lastUse[r.session] = now
		r.unreadTokens = r.promptTokens - c.templateTokens - c.sessionTokens + missed
		e.reading = append(e.reading, r)
		e.addToCache(template, c.templateTokens)
		e.addToCache(r.session, c.sessionTokens)
		e.addToCache(fmt.Sprint("own", now.UnixNano(), r.entry), r.promptTokens-c.templateTokens-c.sessionTokens)
		if !e.active {
			e.active = true
			t.schedule(now, iterate(e))
		}
	}
	iterate = func(e *batchEngine) func(time.Time) {
		return func(now time.Time) {
			if len(e.running) == 0 && len(e.reading) == 0 {
				e.active = false
				return
			}
			took := iterationTime + iterationTimePerRequest*time.Duration(len(e.running))
			if len(e.reading) > 0 {
				r := e.reading[0]
				read := min(chunkTokens, r.unreadTokens)
				r.unreadTokens -= read
				took += readTimePerToken * time.Duration(read)
			}
			t.schedule(now.Add(took), func(ended time.Time) {
				kept := e.running[:0]
				for _, r := range e.running {
					if r.remainingTokens--; r.remainingTokens > 0 {
						kept = append(kept, r)
						continue
					}
					entries[r.entry].End(fmt.Sprint(r.engine))
				}
				e.running = kept
				if len(e.reading) > 0 && e.reading[0].unreadTokens <= 0 {
					r := e.reading[0]
					e.reading = e.reading[1:]
					e.running = append(e.running, r)
					entries[r.entry].AdjustLoad(fmt.Sprint(r.engine), -r.loadAdjustment)
					result.record(classes, r, ended)
				}
				for len(e.waiting) > 0 && len(e.running)+len(e.reading) < fleet.slots {
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
		t.schedule(now.Add(exponential(random, time.Duration(float64(time.Second)/perSecond))), arrive)
		draw := random.Float64()
		class := 0
		for class < len(classes)-1 && draw >= classes[class].share {
			draw -= classes[class].share
			class++
		}
		c := classes[class]
		own := c.meanUniqueTokens * math.Exp(c.sigma*random.NormFloat64()-c.sigma*c.sigma/2)
		r := &servingRequest{
			class: class, session: fmt.Sprint("s", class, "/", random.IntN(c.sessions)), arrived: now, entry: random.IntN(fleet.entries),
			promptTokens: c.templateTokens + c.sessionTokens + int(own), remainingTokens: 1 + random.IntN(2*c.meanResponseTokens),
		}
		r.unreadTokens = r.promptTokens
		r.engine = placeRequest(now, random, engines, entries[r.entry], c, r, way)
		id := fmt.Sprint(r.engine)
		r.loadAdjustment = float64(r.promptTokens) / tokensPerLoadUnit
		entries[r.entry].Begin(id)
		entries[r.entry].AdjustLoad(id, r.loadAdjustment)
		e := engines[r.engine]
		if len(e.running)+len(e.reading) < fleet.slots {
			begin(now, e, r)
		} else {
			e.waiting = append(e.waiting, r)
		}
	}
	t.schedule(epoch, arrive)
	var tell func(now time.Time)
	tell = func(now time.Time) {
		total := map[string]float64{}
		own := make([]map[string]float64, len(entries))
		for i, entry := range entries {
			own[i] = entry.OwnLoad()
			for id, load := range own[i] {
				total[id] += load
			}
		}
		t.schedule(now.Add(loadReportDelay), func(later time.Time) {
			for i, entry := range entries {
				for id, load := range total {
					entry.SetRemoteLoad(later, id, load-own[i][id])
				}
			}
		})
		t.schedule(now.Add(loadReportInterval), tell)
	}
	t.schedule(epoch, tell)
	t.runUntil(epoch.Add(servingDuration))
	return result
}

// placeRequest chooses the engine of a request.
func placeRequest(now time.Time, random *rand.Rand, engines []*batchEngine, entry *router.Router, c servingClass, r *servingRequest, way placement) int {
	if way.fullState {
		best, least := 0, math.Inf(1)
		start := random.IntN(len(engines))
		for i := range engines {
			at := (start + i) % len(engines)
			e := engines[at]
			cost := float64(e.unreadTokens())
			if _, ok := e.cachedParts[r.session]; !ok {
				cost += float64(c.sessionTokens)
			}
			if cost < least {
				best, least = at, cost
			}
		}
		return best
	}
	ask := router.Request{Deployment: "d"}
	if way.usePrefixes && c.templateTokens+c.sessionTokens >= 500 {
		ask.PrefixHash = xxhash.Sum64String(r.session)
	}
	u, _ := entry.Pick(now, ask)
	at := 0
	_, _ = fmt.Sscan(u.ID, &at)
	return at
}

func (s *servingResult) record(classes []servingClass, r *servingRequest, now time.Time) {
	if r.arrived.Before(epoch.Add(servingWarmUp)) {
		return
	}
	took := now.Sub(r.arrived)
	s.firstTokenTimes[r.class] = append(s.firstTokenTimes[r.class], took)
	s.requests++
	s.requestsByClass[r.class]++
	if took > classes[r.class].targetLatency {
		s.late++
		s.lateByClass[r.class]++
	}
}

// runServing compares ways of placing sessions on batched engines.
func runServing(cfg Config) error {
	classes := servingClasses()
	for _, fleet := range []servingFleet{{16, 32, 9, 550_000}, {80, 12, 81, 395_000}} {
		rows := [][]string{cells("load|way|late|reviews late|chats late|tags late|chat p95|shared parts read again")}
		for _, load := range []float64{0.3, 0.45, 0.6} {
			for _, way := range []placement{
				{name: "least loaded"}, {name: "bounded", usePrefixes: true}, {name: "bounded, 2", usePrefixes: true, choices: 2}, {name: "bounded, 3", usePrefixes: true, choices: 3}, {name: "all-knowing", fullState: true},
			} {
				r := simulateServing(cfg.Seed, fleet, load, way)
				share := func(class int) float64 {
					return 100 * float64(r.lateByClass[class]) / float64(max(1, r.requestsByClass[class]))
				}
				rows = append(rows, cells("%.1f|%s|%.1f%%|%.1f%%|%.1f%%|%.1f%%|%s|%.1f%%", load, way.name,
					100*float64(r.late)/float64(max(1, r.requests)), share(0), share(1), share(2),
					quantile(r.firstTokenTimes[1], 0.95).Round(time.Millisecond), 100*float64(r.rereadTokens)/float64(max(1, r.sharedTokens))))
			}
		}
		printTable(cfg.Out, fmt.Sprintf("serving, %d engines of %d slots, %d entries, %d kinds of request, seed %d",
			fleet.engines, fleet.slots, fleet.entries, len(classes), cfg.Seed), rows...)
	}
	return nil
}
