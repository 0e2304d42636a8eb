package experimenter

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenahitch/galenahitch/internal/messenger"
	"github.com/galenahitch/galenahitch/pkg/isolator"
	"github.com/galenahitch/galenahitch/pkg/limiter"
	"github.com/galenahitch/galenahitch/pkg/mover"
	"github.com/galenahitch/galenahitch/pkg/planner"
	"github.com/galenahitch/galenahitch/pkg/router"
	"github.com/galenahitch/galenahitch/pkg/tracker"
)

const (
	capacityDomains = 10
	workersPerEntry = 9.4 // at the specified fleet size
	minMeasureTime  = 100 * time.Millisecond
	// updateFanout and updateFanoutLarge are the numbers of peers to which an
	// entry pushes an update, in small and in large fleets.
	updateFanout      = 8
	updateFanoutLarge = 4
)

// cost is the duration of an operation and the heap memory of its state.
type cost struct {
	time  time.Duration
	bytes uint64
}

// meanTime returns the mean duration of call, over at least minMeasureTime.
func meanTime(call func()) time.Duration {
	call()
	n := 1
	for {
		start := time.Now()
		for range n {
			call()
		}
		if elapsed := time.Since(start); elapsed >= minMeasureTime {
			return elapsed / time.Duration(n)
		}
		n *= 2
	}
}

// heapBytes returns the heap memory in bytes that the result of build occupies.
func heapBytes(build func() any) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
}

func members(n int) []tracker.Member {
	list := make([]tracker.Member, 0, n)
	for i := range n {
		list = append(list, tracker.Member{
			ID: fmt.Sprintf("entry-%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:8082", i>>16, i>>8&255, i&255),
			FailureDomain: fmt.Sprintf("domain-%d", i%capacityDomains),
		})
	}
	return list
}

func upstreams(n int) []router.Upstream {
	list := make([]router.Upstream, 0, n)
	for i := range n {
		list = append(list, router.Upstream{
			ID: fmt.Sprintf("worker-%06d", i), Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255),
			Deployment: "d", Version: "v1", FailureDomain: fmt.Sprintf("domain-%d", i%capacityDomains), Slots: 64,
		})
	}
	return list
}

// membershipCost measures the membership state of n entries: its memory and the
// times to load the list, to select the peers of one round and to record one
// contact.
func membershipCost(n int) (state cost, round, contact time.Duration) {
	list := members(n)
	build := func() any {
		t := tracker.New(tracker.Config{Self: list[0]})
		t.UpdateList(epoch, list)
		t.SelectPeers(newRandom(1, 1))
		return t
	}
	state.bytes = heapBytes(build)
	t := build().(*tracker.Tracker)
	random := newRandom(1, 1)
	state.time = meanTime(func() { t.UpdateList(epoch, list) })
	round = meanTime(func() { t.SelectPeers(random) })
	contact = meanTime(func() { t.RecordContact(epoch, list[random.IntN(n)], 1, true, false) })
	return state, round, contact
}

// routingCost measures the routing state of n workers: its memory, the time to
// load the list, and the times of one pick without and with a prefix.
func routingCost(n int) (state cost, pick, prefixPick time.Duration) {
	list := upstreams(n)
	build := func() any {
		r := router.New(router.Config{EntryID: "entry-1", FailureDomain: "domain-1", Seed: 1})
		r.Replace(epoch, list)
		return r
	}
	state.bytes = heapBytes(build)
	r := build().(*router.Router)
	state.time = meanTime(func() { r.Replace(epoch, list) })
	pick = meanTime(func() { r.Pick(epoch, router.Request{Deployment: "d"}) })
	prefixPick = meanTime(func() { r.Pick(epoch, router.Request{Deployment: "d", PrefixHash: 7}) })
	return state, pick, prefixPick
}

// exchangeCost measures one exchange with the given number of updates: its size
// in bytes and the times to encode and decode it.
func exchangeCost(updates int) (size int, encode, decode time.Duration) {
	x := messenger.Exchange{From: members(1)[0], Generation: 5700, Ready: true, Members: members(8)}
	for i := range updates {
		x.CrashRecords = append(x.CrashRecords, isolator.CrashRecord{Fingerprint: isolator.Fingerprint(i), Upstream: fmt.Sprintf("worker-%06d", i)})
		x.MoveOutcomes = append(x.MoveOutcomes, messenger.MoveOutcomes{EntryID: fmt.Sprintf("entry-%05d", i), MoveID: "0b8f0c1e-0000-4000-8000-000000000000", Route: "chat-answer", Current: mover.Counts{Outcomes: 10000}, New: mover.Counts{Outcomes: 100}})
	}
	for i := range min(updates, 4) {
		x.Moves = append(x.Moves, mover.Start(epoch, mover.Move{ID: fmt.Sprint(i), Epoch: 1, Deployment: "size-advice", From: "v1", To: "v2"}, "ana", time.Hour))
	}
	data, _ := cbor.Marshal(x)
	encode = meanTime(func() { _, _ = cbor.Marshal(x) })
	decode = meanTime(func() {
		var out messenger.Exchange
		_ = cbor.Unmarshal(data, &out)
	})
	return len(data), encode, decode
}

// configCost measures a configuration with n organisations: its size in bytes
// and the time to decode it.
func configCost(n int) (size int, decode time.Duration) {
	cfg := planner.Config{Generation: 1, Firm: "firm"}
	for i := range n {
		cfg.Organisations = append(cfg.Organisations, planner.Organisation{Name: fmt.Sprintf("organisation-%d", i), Weight: 1, TokenSHA256: fmt.Sprintf("%064d", i)})
	}
	for i := range 20 {
		cfg.Routes = append(cfg.Routes, planner.Route{Name: fmt.Sprintf("route-%d", i), Deployment: "d"})
	}
	data, _ := planner.Encode(cfg)
	return len(data), meanTime(func() { _, _ = planner.Decode(data) })
}

// admissionCost measures one submit and one release while requests of n
// organisations are queued.
func admissionCost(n int) time.Duration {
	var l limiter.Limiter
	l.SetCapacity(64)
	for i := range 64 {
		l.Submit(epoch, limiter.Request{Organisation: fmt.Sprint(i % n), Deadline: epoch.Add(time.Hour)})
	}
	names := make([]string, n)
	for i := range n {
		names[i] = fmt.Sprint(i)
		l.Submit(epoch, limiter.Request{Organisation: names[i], Deadline: epoch.Add(time.Hour)})
	}
	random := newRandom(1, 1)
	return meanTime(func() {
		name := names[random.IntN(n)]
		l.Submit(epoch, limiter.Request{Organisation: name, Deadline: epoch.Add(time.Hour)})
		l.Release(epoch, name, time.Millisecond)
	})
}

// comparisonCost measures the time to add one outcome of each version to a
// comparison.
func comparisonCost() time.Duration {
	var c mover.Comparisons
	random := rand.New(rand.NewPCG(1, 1))
	return meanTime(func() {
		c.Observe([]string{"a", "b", "c"}[random.IntN(3)], mover.Counts{Outcomes: 1}, mover.Counts{Outcomes: 1})
	})
}

// updateSpread describes how an update spreads through n entries: the hops of
// pushes, the share of entries that pushes reach, the pushes per entry, and the
// rounds of regular exchanges, one every interval, until all entries have it.
type updateSpread struct {
	hops           int
	coverage       float64
	pushesPerEntry float64
	rounds         int
	interval       time.Duration
}

// simulateUpdateSpread lets each entry that receives an update push it once to
// a few peers, and then counts the rounds of regular exchanges until the
// remaining entries have it.
func simulateUpdateSpread(n int, seed uint64) updateSpread {
	list := members(n)
	index := map[string]int{}
	trackers := make([]*tracker.Tracker, n)
	for i := range n {
		index[list[i].ID] = i
		trackers[i] = tracker.New(tracker.Config{Self: list[i]})
		trackers[i].UpdateList(epoch, list)
	}
	s := updateSpread{interval: trackers[0].RoundInterval()}
	fanout := updateFanout
	if s.interval > time.Second {
		fanout = updateFanoutLarge
	}
	random := newRandom(seed, n)
	reached := make([]bool, n)
	reached[0] = true
	senders, count := []int{0}, 1
	for len(senders) > 0 {
		s.hops++
		var next []int
		for _, i := range senders {
			for _, peer := range trackers[i].RankedMembers(epoch, fmt.Sprint(random.Uint64()), fanout) {
				s.pushesPerEntry++
				if j := index[peer.ID]; !reached[j] {
					reached[j] = true
					count++
					next = append(next, j)
				}
			}
		}
		senders = next
	}
	s.coverage = float64(count) / float64(n)
	s.pushesPerEntry /= float64(n)
	for count < n {
		s.rounds++
		next := append([]bool{}, reached...)
		for i := range n {
			for _, peer := range trackers[i].SelectPeers(random) {
				if j := index[peer.ID]; reached[i] || reached[j] {
					next[i], next[j] = true, true
				}
			}
		}
		reached, count = next, 0
		for _, k := range reached {
			if k {
				count++
			}
		}
	}
	return s
}

// runCapacity measures how times, memory and message sizes grow with the size
// of a fleet. docs/CAPACITY.md is derived from these growth rates.
func runCapacity(cfg Config) error {
	sizes := []int{8, 80, 410, 820, 1640}
	rows := [][]string{cells("entries|view bytes|take list|round|hear|news: hops|reached|pushes an entry|rounds to the rest|of")}
	for _, n := range sizes {
		state, round, contact := membershipCost(n)
		s := simulateUpdateSpread(n, cfg.Seed)
		rows = append(rows, cells("%d|%d|%s|%s|%s|%d|%.1f%%|%.1f|%d|%s", n, state.bytes, state.time, round, contact, s.hops, 100*s.coverage, s.pushesPerEntry, s.rounds, s.interval))
	}
	printTable(cfg.Out, "membership and spread", rows...)

	rows = [][]string{cells("workers|state bytes|take list|choose|choose by prefix")}
	for _, n := range sizes {
		workers := int(float64(n) * workersPerEntry)
		state, pick, prefixPick := routingCost(workers)
		rows = append(rows, cells("%d|%d|%s|%s|%s", workers, state.bytes, state.time, pick, prefixPick))
	}
	printTable(cfg.Out, "routing state", rows...)

	rows = [][]string{cells("news in an exchange|bytes|encode|decode")}
	for _, n := range []int{0, 16, 64} {
		size, encode, decode := exchangeCost(n)
		rows = append(rows, cells("%d|%d|%s|%s", n, size, encode, decode))
	}
	printTable(cfg.Out, "exchanges", rows...)

	rows = [][]string{cells("organisations|configuration bytes|decode|admit and release")}
	for _, n := range []int{5, 50, 500} {
		size, decode := configCost(n)
		rows = append(rows, cells("%d|%d|%s|%s", n, size, decode, admissionCost(n)))
	}
	printTable(cfg.Out, "configuration and admission", rows...)
	printTable(cfg.Out, "comparison of versions", cells("one outcome"), cells("%s", comparisonCost()))

	rows, err := claimRows()
	if err != nil {
		return err
	}
	printTable(cfg.Out, "claims", rows...)
	return nil
}
