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
	stepTime       = 3820 * time.Microsecond
	stepPerRunning = 11 * time.Microsecond
	promptTime     = 14660 * time.Nanosecond // for each token that is read
	chunkTokens    = 2048
	servingTime    = 40 * time.Second
	servingWarm    = 10 * time.Second
	// hearTime is how often entries hear of each other's load, and hearLag how
	// old that is then.
	hearTime = 200 * time.Millisecond
	hearLag  = 400 * time.Millisecond
	// promptUnit is the number of tokens to be read that counts as one request.
	promptUnit = 1500.0
	// keepPriced is how long a shared part that is read again counts as waste.
	keepPriced = 10 * time.Second
)

// servingClass is a kind of request.
type servingClass struct {
	name     string
	share    float64
	template int
	session  int
	sessions int
	own      float64
	spread   float64
	answer   int
	aim      time.Duration
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
	engines, slots, entries, cache int
}

// served is a request of the model.
type served struct {
	class   int
	session string
	tokens  int
	left    int
	answer  int
	arrived time.Time
	entry   int
	engine  int
	weight  float64
}

// batchEngine is one engine of the model.
type batchEngine struct {
	running  []*served
	reading  []*served
	waiting  []*served
	active   bool
	held     int
	cached   map[string]int
	order    []string
	capacity int
}

// keep takes a part into the cache, the least recently used of which go.
func (e *batchEngine) keep(id string, tokens int) {
	if _, ok := e.cached[id]; ok {
		for i, other := range e.order {
			if other == id {
				e.order = append(append(e.order[:i:i], e.order[i+1:]...), id)
				break
			}
		}
		return
	}
	e.cached[id], e.order = tokens, append(e.order, id)
	e.held += tokens
	for e.held > e.capacity && len(e.order) > 1 {
		e.held -= e.cached[e.order[0]]
		delete(e.cached, e.order[0])
		e.order = e.order[1:]
	}
}

// pending is the number of prompt tokens that the engine has yet to read.
func (e *batchEngine) pending() int {
	n := 0
	for _, r := range e.reading {
		n += r.left
	}
	for _, r := range e.waiting {
		n += r.left
	}
	return n
}

// placement chooses engines for the model.
type placement struct {
	name string
	// prefix sends sessions to their own engines, all knows what engines hold.
	prefix, all bool
	// choices is the number of engines of which the least loaded is taken.
	choices int
}

type servingResult struct {
	first   map[int][]time.Duration
	late    int
	all     int
	again   int
	shared  int
	lateOf  map[int]int
	classes map[int]int
}

// simulateServing plays requests at a load, which is the share of the engines'
// reading speed that all prompts would take if nothing were kept.
func simulateServing(seed uint64, fleet servingFleet, load float64, way placement) servingResult {
	var t timeline
	random := newRandom(seed, 3)
	classes := servingClasses()
	result := servingResult{first: map[int][]time.Duration{}, lateOf: map[int]int{}, classes: map[int]int{}}
	engines := make([]*batchEngine, fleet.engines)
	var list []router.Upstream
	for i := range engines {
		engines[i] = &batchEngine{cached: map[string]int{}, capacity: fleet.cache}
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
		mean += c.share * (float64(c.template+c.session) + c.own)
	}
	perSecond := load * float64(fleet.engines) * float64(time.Second) / float64(promptTime) / mean
	lastUse := map[string]time.Time{}
	var iterate func(e *batchEngine) func(time.Time)
	begin := func(now time.Time, e *batchEngine, r *served) {
		c := classes[r.class]
		template := fmt.Sprint(r.class, "/", xxhash.Sum64String(r.session)%3)
		missed := c.template + c.session
		if _, ok := e.cached[template]; ok {
			missed -= c.template
			if _, ok := e.cached[r.session]; ok {
				missed -= c.session
			}
		}
		if now.After(epoch.Add(servingWarm)) {
			result.shared += c.template + c.session
			if at, ok := lastUse[r.session]; ok && now.Sub(at) < keepPriced {
				result.again += missed
			}
		}
		lastUse[r.session] = now
		r.left = r.tokens - c.template - c.session + missed
		e.reading = append(e.reading, r)
		e.keep(template, c.template)
		e.keep(r.session, c.session)
		e.keep(fmt.Sprint("own", now.UnixNano(), r.entry), r.tokens-c.template-c.session)
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
			took := stepTime + stepPerRunning*time.Duration(len(e.running))
			if len(e.reading) > 0 {
				r := e.reading[0]
				read := min(chunkTokens, r.left)
				r.left -= read
				took += promptTime * time.Duration(read)
			}
			t.schedule(now.Add(took), func(ended time.Time) {
				kept := e.running[:0]
				for _, r := range e.running {
					if r.answer--; r.answer > 0 {
						kept = append(kept, r)
						continue
					}
					entries[r.entry].End(fmt.Sprint(r.engine))
				}
				e.running = kept
				if len(e.reading) > 0 && e.reading[0].left <= 0 {
					r := e.reading[0]
					e.reading = e.reading[1:]
					e.running = append(e.running, r)
					entries[r.entry].AdjustLoad(fmt.Sprint(r.engine), -r.weight)
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
		own := c.own * math.Exp(c.spread*random.NormFloat64()-c.spread*c.spread/2)
		r := &served{
			class: class, session: fmt.Sprint("s", class, "/", random.IntN(c.sessions)), arrived: now, entry: random.IntN(fleet.entries),
			tokens: c.template + c.session + int(own), answer: 1 + random.IntN(2*c.answer),
		}
		r.left = r.tokens
		r.engine = place(now, random, engines, entries[r.entry], c, r, way)
		id := fmt.Sprint(r.engine)
		r.weight = float64(r.tokens) / promptUnit
		entries[r.entry].Begin(id)
		entries[r.entry].AdjustLoad(id, r.weight)
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
		t.schedule(now.Add(hearLag), func(later time.Time) {
			for i, entry := range entries {
				for id, load := range total {
					entry.SetRemoteLoad(later, id, load-own[i][id])
				}
			}
		})
		t.schedule(now.Add(hearTime), tell)
	}
	t.schedule(epoch, tell)
	t.runUntil(epoch.Add(servingTime))
	return result
}

// place chooses the engine of a request.
func place(now time.Time, random *rand.Rand, engines []*batchEngine, entry *router.Router, c servingClass, r *served, way placement) int {
	if way.all {
		best, least := 0, math.Inf(1)
		start := random.IntN(len(engines))
		for i := range engines {
			at := (start + i) % len(engines)
			e := engines[at]
			cost := float64(e.pending())
			if _, ok := e.cached[r.session]; !ok {
				cost += float64(c.session)
			}
			if cost < least {
				best, least = at, cost
			}
		}
		return best
	}
	ask := router.Request{Deployment: "d"}
	if way.prefix && c.template+c.session >= 500 {
		ask.PrefixHash = xxhash.Sum64String(r.session)
	}
	u, _ := entry.Pick(now, ask)
	at := 0
	_, _ = fmt.Sscan(u.ID, &at)
	return at
}

func (s *servingResult) record(classes []servingClass, r *served, now time.Time) {
	if r.arrived.Before(epoch.Add(servingWarm)) {
		return
	}
	took := now.Sub(r.arrived)
	s.first[r.class] = append(s.first[r.class], took)
	s.all++
	s.classes[r.class]++
	if took > classes[r.class].aim {
		s.late++
		s.lateOf[r.class]++
	}
}

// runServing compares ways of placing sessions on batched engines.
func runServing(cfg Config) error {
	classes := servingClasses()
	for _, fleet := range []servingFleet{{16, 32, 9, 550_000}, {80, 12, 81, 395_000}} {
		rows := [][]string{cells("load|way|late|reviews late|chats late|tags late|chat p95|shared parts read again")}
		for _, load := range []float64{0.3, 0.45, 0.6} {
			for _, way := range []placement{
				{name: "least loaded"}, {name: "bounded", prefix: true}, {name: "bounded, 2", prefix: true, choices: 2}, {name: "bounded, 3", prefix: true, choices: 3}, {name: "all-knowing", all: true},
			} {
				r := simulateServing(cfg.Seed, fleet, load, way)
				share := func(class int) float64 { return 100 * float64(r.lateOf[class]) / float64(max(1, r.classes[class])) }
				rows = append(rows, cells("%.1f|%s|%.1f%%|%.1f%%|%.1f%%|%.1f%%|%s|%.1f%%", load, way.name,
					100*float64(r.late)/float64(max(1, r.all)), share(0), share(1), share(2),
					quantile(r.first[1], 0.95).Round(time.Millisecond), 100*float64(r.again)/float64(max(1, r.shared))))
			}
		}
		printTable(cfg.Out, fmt.Sprintf("serving, %d engines of %d slots, %d entries, %d kinds of request, seed %d",
			fleet.engines, fleet.slots, fleet.entries, len(classes), cfg.Seed), rows...)
	}
	return nil
}
