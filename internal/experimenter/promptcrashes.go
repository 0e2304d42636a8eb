package experimenter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/router"
)

const (
	promptCrashRuns = 200
	// A simulation lasts promptCrashLength; requests with the bad part come from
	// promptCrashFrom on.
	promptCrashLength = 16 * time.Second
	promptCrashFrom   = 4 * time.Second
	// promptCrashContact is the time after the fifth end by the bad part from which on a
	// request with it that reaches an upstream is late.
	promptCrashContact = 3 * time.Second
	promptCrashEnds    = 5
	promptRestart      = 3 * time.Second
	promptDetection    = 30 * time.Millisecond
	promptSurvival     = 500 * time.Millisecond
	promptRound        = 100 * time.Millisecond
	promptMiddleParts  = 12
	promptRareParts    = 300
	badPromptPart      = "bad"
	// promptMostTroubled is the number of entries above which no other trouble is simulated.
	promptMostTroubled = 100
)

// promptCrashTrouble is what else befalls the upstreams.
type promptCrashTrouble string

const (
	troubleNone promptCrashTrouble = "none"
	// troubleHerd ends a third of the upstreams at one moment, twice.
	troubleHerd promptCrashTrouble = "herd"
	// troubleRandom ends a random upstream every 400 ms.
	troubleRandom promptCrashTrouble = "random"
	// troubleAll ends all upstreams at one moment, twice.
	troubleAll promptCrashTrouble = "all"
	// troubleLoop ends each upstream some time after it has started, whatever it runs.
	troubleLoop promptCrashTrouble = "crash loop"
)

// promptCrashConfig configures a simulation of a part of prompts that ends upstreams.
type promptCrashConfig struct {
	entries, upstreams int
	// rate and badRate are those of sound requests and of requests with the bad part, per
	// second.
	rate, badRate float64
	// badDepth is the position of the bad part, from 0: the first, a middle one, or 2, after
	// these.
	badDepth int
	trouble  promptCrashTrouble
}

type promptCrashResult struct {
	// ends are the upstreams that the bad part ended, arrivals the requests with it that
	// reached one, late those that came too late.
	ends, arrivals, late int
	// convictedAfter is the time from the first end to the conviction at all entries.
	convictedAfter time.Duration
	// falseParts are sound parts that an entry convicted.
	falseParts []string
	// refused are the sound requests that were refused, answered those that were answered,
	// of all.
	refused, answered, sound int
}

// promptRequest is a request in flight at an upstream.
type promptRequest struct {
	id    isolator.Fingerprint
	entry int
	names []string
	parts []isolator.Part
	bad   bool
	start time.Time
	began time.Time
	done  bool
}

type promptUpstream struct {
	id      string
	alive   bool
	running map[*promptRequest]bool
}

type promptEntry struct {
	isolator isolator.Isolator
	router   *router.Router
	gone     map[string]bool
}

// promptCrashModel simulates entries that share their evidence with a delay, in front of
// upstreams that end when they begin to answer a request with the bad part.
type promptCrashModel struct {
	cfg       promptCrashConfig
	random    *rand.Rand
	time      timeline
	entries   []*promptEntry
	upstreams map[string]*promptUpstream
	started   int
	ends      []time.Time
	arrivals  []time.Time
	names     map[isolator.Fingerprint]string
	result    promptCrashResult
}

// simulatePromptCrashes simulates requests with a bad part, or only the trouble if their
// rate is 0.
func simulatePromptCrashes(seed uint64, run int, cfg promptCrashConfig) promptCrashResult {
	m := &promptCrashModel{cfg: cfg, random: newRandom(seed, run), upstreams: map[string]*promptUpstream{}, names: map[isolator.Fingerprint]string{}}
	for i := range cfg.entries {
		m.entries = append(m.entries, &promptEntry{router: router.New(router.Config{EntryID: fmt.Sprint("e", i), Seed: seed + uint64(i), Choices: 3}), gone: map[string]bool{}})
	}
	for range cfg.upstreams {
		m.startUpstream(epoch)
	}
	m.arrive(epoch, cfg.rate, false)
	if cfg.badRate > 0 {
		m.arrive(epoch.Add(promptCrashFrom), cfg.badRate, true)
	}
	m.disturb()
	for i := range m.entries {
		m.time.schedule(epoch.Add(time.Duration(m.random.Int64N(int64(promptRound)))), func(now time.Time) { m.round(now, i) })
	}
	m.time.runUntil(epoch.Add(promptCrashLength))
	m.result.ends, m.result.arrivals = len(m.ends), len(m.arrivals)
	if len(m.ends) >= promptCrashEnds {
		for _, at := range m.arrivals {
			if at.After(m.ends[promptCrashEnds-1].Add(promptCrashContact)) {
				m.result.late++
			}
		}
	}
	return m.result
}

func (m *promptCrashModel) startUpstream(now time.Time) {
	m.started++
	u := &promptUpstream{id: fmt.Sprint("u", m.started), alive: true, running: map[*promptRequest]bool{}}
	m.upstreams[u.id] = u
	m.updateRouters(now)
	if m.cfg.trouble == troubleLoop {
		m.time.schedule(now.Add(time.Second+exponential(m.random, 2*time.Second)), func(now time.Time) { m.end(now, u) })
	}
}

func (m *promptCrashModel) updateRouters(now time.Time) {
	var list []router.Upstream
	for _, u := range m.upstreams {
		if u.alive {
			list = append(list, router.Upstream{ID: u.id, Deployment: "model", Slots: 32})
		}
	}
	slices.SortFunc(list, func(a, b router.Upstream) int { return len(a.ID) - len(b.ID) })
	for _, e := range m.entries {
		e.router.Replace(now, list)
	}
}

// disturb schedules the trouble.
func (m *promptCrashModel) disturb() {
	share, interval := 0, time.Duration(0)
	switch m.cfg.trouble {
	case troubleHerd:
		share, interval = 3, 4*time.Second
	case troubleAll:
		share, interval = 1, 5*time.Second
	case troubleRandom:
		interval = 400 * time.Millisecond
	default:
		return
	}
	for at := interval; at < promptCrashLength; at += interval {
		m.time.schedule(epoch.Add(at), func(now time.Time) {
			var alive []*promptUpstream
			for _, u := range m.upstreams {
				if u.alive {
					alive = append(alive, u)
				}
			}
			slices.SortFunc(alive, func(a, b *promptUpstream) int {
				if a.id < b.id {
					return -1
				}
				return 1
			})
			m.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
			n := min(1, len(alive))
			if share > 0 {
				n = len(alive) / share
			}
			for _, u := range alive[:n] {
				m.end(now, u)
			}
		})
	}
}

// arrive schedules requests at random times.
func (m *promptCrashModel) arrive(from time.Time, rate float64, bad bool) {
	at := from.Add(exponential(m.random, time.Duration(float64(time.Second)/rate)))
	m.time.schedule(at, func(now time.Time) {
		m.send(now, m.newRequest(bad), 0)
		m.arrive(now, rate, bad)
	})
}

// newRequest returns a request whose prompt has a common first part, one of some middle
// parts and, often, one of many rare ones.
func (m *promptCrashModel) newRequest(bad bool) *promptRequest {
	middle := int(float64(promptMiddleParts) * m.random.Float64() * m.random.Float64())
	names := []string{"first", fmt.Sprint("m", middle)}
	switch {
	case bad && m.cfg.badDepth < len(names):
		names[m.cfg.badDepth] = badPromptPart
	case bad:
		names = append(names, badPromptPart)
	case m.random.IntN(3) == 0:
		names = append(names, fmt.Sprint("r", m.random.IntN(promptRareParts)))
	}
	r := &promptRequest{id: isolator.Fingerprint(m.random.Uint64()), entry: m.random.IntN(len(m.entries)), names: names, bad: bad}
	for i, name := range names {
		part := isolator.PartOf(name, i+1)
		m.names[part.Fingerprint] = name
		r.parts = append(r.parts, part)
	}
	return r
}

// send sends a request to an upstream, as the entry process does.
func (m *promptCrashModel) send(now time.Time, r *promptRequest, attempt int) {
	e := m.entries[r.entry]
	if attempt == 0 {
		r.done = false
		if !r.bad {
			m.result.sound++
		}
	}
	query := router.Request{Deployment: "model"}
	for id := range e.gone {
		query.Exclude = append(query.Exclude, id)
	}
	for _, part := range r.parts {
		switch e.isolator.Status(now, part.Fingerprint) {
		case isolator.Confirmed, isolator.Pending:
			if !r.bad {
				m.result.refused++
			}
			return
		case isolator.Suspect:
			if !e.isolator.IsCommon(part.Fingerprint) {
				query.PrefixHash, query.IgnoreLoad = uint64(part.Fingerprint), true
			}
		}
	}
	picked, ok := e.router.Pick(now, query)
	if !ok {
		return
	}
	u := m.upstreams[picked.ID]
	if !u.alive {
		// It refuses the connection.
		e.gone[u.id] = true
		m.send(now, r, max(1, attempt))
		return
	}
	if r.bad {
		m.arrivals = append(m.arrivals, now)
	}
	e.router.Begin(u.id)
	r.start, r.began = now, time.Time{}
	u.running[r] = true
	queued := 10*time.Millisecond + exponential(m.random, 100*time.Millisecond)
	m.time.schedule(now.Add(queued), func(now time.Time) { m.begin(now, u, r) })
}

// begin begins the answer to a request.
func (m *promptCrashModel) begin(now time.Time, u *promptUpstream, r *promptRequest) {
	if !u.running[r] {
		return
	}
	r.began = now
	if r.bad {
		m.time.schedule(now.Add(50*time.Millisecond), func(now time.Time) {
			if u.alive {
				m.ends = append(m.ends, now)
				m.end(now, u)
			}
		})
		return
	}
	length := lognormal(m.random, 800*time.Millisecond, 0.7)
	if length > promptSurvival {
		m.time.schedule(now.Add(promptSurvival), func(now time.Time) {
			if u.running[r] {
				m.entries[r.entry].isolator.RecordSurvival(now, r.began, r.parts)
			}
		})
	}
	m.time.schedule(now.Add(length), func(now time.Time) {
		if u.running[r] {
			delete(u.running, r)
			e := m.entries[r.entry]
			e.router.End(u.id)
			e.isolator.RecordCompletion(now, r.id)
			e.isolator.RecordSurvival(now, r.began, r.parts)
			m.result.answered++
		}
	})
}

// end ends an upstream. The entries that have requests there detect it a moment later.
func (m *promptCrashModel) end(now time.Time, u *promptUpstream) {
	if !u.alive {
		return
	}
	u.alive = false
	byEntry := map[int][]*promptRequest{}
	for r := range u.running {
		byEntry[r.entry] = append(byEntry[r.entry], r)
	}
	u.running = map[*promptRequest]bool{}
	for i := range m.entries {
		broken := byEntry[i]
		if len(broken) == 0 {
			continue
		}
		slices.SortFunc(broken, func(a, b *promptRequest) int { return a.start.Compare(b.start) })
		m.time.schedule(now.Add(promptDetection), func(detected time.Time) { m.detect(now, detected, u, i, broken) })
	}
	m.time.schedule(now.Add(promptRestart), func(now time.Time) {
		delete(m.upstreams, u.id)
		m.startUpstream(now)
	})
}

// detect records the end of an upstream at an entry and sends the requests again.
func (m *promptCrashModel) detect(ended, now time.Time, u *promptUpstream, entry int, broken []*promptRequest) {
	e := m.entries[entry]
	e.gone[u.id] = true
	size := len(e.router.Upstreams())
	var attempts []isolator.Attempt
	for _, r := range broken {
		attempts = append(attempts, isolator.Attempt{Fingerprint: r.id, Parts: r.parts, Start: r.start, End: ended, DeploymentSize: size})
	}
	for _, record := range e.isolator.RecordCrash(now, u.id, attempts) {
		m.tell(now, entry, record)
	}
	for _, r := range broken {
		suspect := slices.ContainsFunc(r.parts, func(p isolator.Part) bool { return e.isolator.Status(now, p.Fingerprint) != isolator.Clear })
		if r.done || suspect {
			continue
		}
		r.done = true
		m.send(now, r, 1)
	}
}

// hops returns the number of messages on the way between two entries.
func (m *promptCrashModel) hops() int {
	if m.cfg.entries > 16 {
		return 3
	}
	return 1
}

// delay returns the time that a message takes to all others, after random rounds and with
// messages that are lost.
func (m *promptCrashModel) delay() time.Duration {
	total := time.Duration(0)
	for range m.hops() {
		total += time.Duration(m.random.Int64N(int64(promptRound))) + 2*time.Millisecond
		for m.random.IntN(20) == 0 {
			total += promptRound
		}
	}
	return total
}

// tell sends a record to all other entries.
func (m *promptCrashModel) tell(now time.Time, from int, record isolator.CrashRecord) {
	for i, e := range m.entries {
		if i == from {
			continue
		}
		m.time.schedule(now.Add(m.delay()), func(at time.Time) {
			told := record
			told.AgeMS += at.Sub(now).Milliseconds()
			told = e.isolator.Uncleared(at, told)
			e.isolator.Merge(at, told)
		})
	}
}

// round convicts parts at an entry and sends its survivals to the others.
func (m *promptCrashModel) round(now time.Time, entry int) {
	e := m.entries[entry]
	for _, record := range e.isolator.ConvictParts(now) {
		m.tell(now, entry, record)
		name := m.names[record.Fingerprint]
		if name != badPromptPart {
			m.result.falseParts = append(m.result.falseParts, name)
		}
	}
	if survivals := e.isolator.Survivals(now, 16); len(survivals) > 0 {
		for i, other := range m.entries {
			// With relays an entry hears of others in each round, not from each of them.
			if i == entry || m.hops() > 1 && m.random.IntN(m.cfg.entries/8) > 0 {
				continue
			}
			m.time.schedule(now.Add(m.delay()), func(at time.Time) {
				age := at.Sub(now).Milliseconds()
				told := slices.Clone(survivals)
				for n := range told {
					told[n].AgeMS += age
				}
				other.isolator.MergeSurvivals(at, told)
			})
		}
	}
	m.observeConviction(now)
	m.time.schedule(now.Add(promptRound), func(now time.Time) { m.round(now, entry) })
}

// observeConviction notes when all entries have convicted the bad part.
func (m *promptCrashModel) observeConviction(now time.Time) {
	if m.result.convictedAfter > 0 || len(m.ends) == 0 {
		return
	}
	bad := isolator.PartOf(badPromptPart, 1).Fingerprint
	for _, e := range m.entries {
		if e.isolator.Status(now, bad) != isolator.Confirmed {
			return
		}
	}
	m.result.convictedAfter = now.Sub(m.ends[0])
}

// runPromptCrashes measures how many upstreams a bad part ends, and which sound parts are
// convicted, beside other troubles.
func runPromptCrashes(cfg Config) error {
	runs := cfg.Runs
	if runs == 0 {
		runs = promptCrashRuns
	}
	rows := [][]string{cells("entries|upstreams|bad a second|depth|trouble|runs|ends p50|ends p95|ends max|late runs|not convicted|convicted p95|false|refused|answered")}
	for _, size := range []struct {
		entries, upstreams int
		rate               float64
	}{{9, 18, 110}, {73, 60, 370}, {195, 117, 720}} {
		for _, trouble := range []promptCrashTrouble{troubleNone, troubleHerd, troubleRandom, troubleAll, troubleLoop} {
			if size.entries > promptMostTroubled && trouble != troubleNone {
				continue
			}
			for _, bad := range []struct {
				rate  float64
				depth int
			}{{0, 2}, {15, 2}, {15, 0}} {
				c := promptCrashConfig{entries: size.entries, upstreams: size.upstreams, rate: size.rate, badRate: bad.rate, badDepth: bad.depth, trouble: trouble}
				n := max(1, runs*9*9/size.entries/size.entries)
				rows = append(rows, promptCrashRow(cfg.Seed, n, c))
			}
		}
	}
	printTable(cfg.Out, fmt.Sprintf("a part of prompts that ends upstreams, seed %d", cfg.Seed), rows...)
	return nil
}

func promptCrashRow(seed uint64, runs int, c promptCrashConfig) []string {
	results := runParallel(runs, func(run int) promptCrashResult { return simulatePromptCrashes(seed, run, c) })
	var ends []int
	var convicted []time.Duration
	late, missed, falseRuns, refused, answered, sound := 0, 0, 0, 0, 0, 0
	for _, r := range results {
		ends = append(ends, r.ends)
		convicted = append(convicted, r.convictedAfter)
		if r.late > 3 {
			late++
		}
		if c.badRate > 0 && r.convictedAfter == 0 {
			missed++
		}
		if len(r.falseParts) > 0 {
			falseRuns++
		}
		refused, answered, sound = refused+r.refused, answered+r.answered, sound+r.sound
	}
	return cells("%d|%d|%.0f|%d|%s|%d|%d|%d|%d|%d|%d|%s|%d|%.4f|%.3f", c.entries, c.upstreams, c.badRate, c.badDepth, c.trouble, runs,
		quantile(ends, 0.5), quantile(ends, 0.95), quantile(ends, 1), late, missed, quantile(convicted, 0.95).Round(10*time.Millisecond), falseRuns,
		float64(refused)/float64(sound), float64(answered)/float64(sound))
}
