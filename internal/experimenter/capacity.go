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
	workersPerEntry = 9.4 // workers for each node at the letter's size
	minMeasureTime  = 100 * time.Millisecond
	// updateFanout and newsFanoutLarge are the peers that an entry passes news to
	// in small and in large fleets.
	updateFanout      = 8
	updateFanoutLarge = 4
)

// cost is the time and the memory that something takes.
type cost struct {
	time  time.Duration
	bytes uint64
}

// meanTime returns the mean time of one call.
func meanTime(call func()) time.Duration {
	call()
	n := 1
	for {
		began := time.Now()
		for range n {
			call()
		}
		if took := time.Since(began); took >= minMeasureTime {
			return took / time.Duration(n)
		}
		n *= 2
	}
}

// heapBytes returns the heap that what make returns holds.
func heapBytes(make func() any) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make()
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

// membershipCost measures the view of n entries: its memory, one round's
// choice of peers and the hearing of one exchange.
func membershipCost(n int) (view cost, round, heard time.Duration) {
	list := members(n)
	make := func() any {
		t := tracker.New(tracker.Config{Self: list[0]})
		t.UpdateList(epoch, list)
		t.SelectPeers(newRandom(1, 1))
		return t
	}
	view.bytes = heapBytes(make)
	t := make().(*tracker.Tracker)
	random := newRandom(1, 1)
	view.time = meanTime(func() { t.UpdateList(epoch, list) })
	round = meanTime(func() { t.SelectPeers(random) })
	heard = meanTime(func() { t.RecordContact(epoch, list[random.IntN(n)], 1, true, false) })
	return view, round, heard
}

// routingCost measures the routing state for n workers: its memory, taking a
// list, and one choice.
func routingCost(n int) (state cost, pick, prefixed time.Duration) {
	list := upstreams(n)
	make := func() any {
		r := router.New(router.Config{EntryID: "entry-1", FailureDomain: "domain-1", Seed: 1})
		r.Replace(epoch, list)
		return r
	}
	state.bytes = heapBytes(make)
	r := make().(*router.Router)
	state.time = meanTime(func() { r.Replace(epoch, list) })
	pick = meanTime(func() { r.Pick(epoch, router.Request{Deployment: "d"}) })
	prefixed = meanTime(func() { r.Pick(epoch, router.Request{Deployment: "d", PrefixHash: 7}) })
	return state, pick, prefixed
}

// exchangeCost measures one exchange with the news of a busy moment.
func exchangeCost(news int) (size int, encode, decode time.Duration) {
	x := messenger.Exchange{From: members(1)[0], Generation: 5700, Ready: true, Members: members(8)}
	for i := range news {
		x.CrashRecords = append(x.CrashRecords, isolator.CrashRecord{Fingerprint: isolator.Fingerprint(i), Upstream: fmt.Sprintf("worker-%06d", i)})
		x.MoveOutcomes = append(x.MoveOutcomes, messenger.MoveOutcomes{EntryID: fmt.Sprintf("entry-%05d", i), MoveID: "0b8f0c1e-0000-4000-8000-000000000000", Route: "chat-answer", Current: mover.Counts{Outcomes: 10000}, New: mover.Counts{Outcomes: 100}})
	}
	for i := range min(news, 4) {
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

// configCost measures a configuration with n organisations.
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

// admissionCost measures one admission and release with n organisations that
// wait.
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

// comparisonCost measures one outcome's part in the comparison of versions.
func comparisonCost() time.Duration {
	var w mover.Comparisons
	random := rand.New(rand.NewPCG(1, 1))
	return meanTime(func() {
		w.Observe([]string{"a", "b", "c"}[random.IntN(3)], mover.Counts{Outcomes: 1}, mover.Counts{Outcomes: 1})
	})
}

// updateSpread is how news travels through n entries.
type updateSpread struct {
	hops           int
	coverage       float64
	pushesPerEntry float64
	rounds         int
	interval       time.Duration
}

// simulateUpdateSpread lets each entry that hears news pass it on once to a few others,
// and then counts the rounds of ordinary exchanges that reach the rest.
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
	knows := make([]bool, n)
	knows[0] = true
	fresh, count := []int{0}, 1
	for len(fresh) > 0 {
		s.hops++
		var next []int
		for _, i := range fresh {
			for _, peer := range trackers[i].RankedMembers(epoch, fmt.Sprint(random.Uint64()), fanout) {
				s.pushesPerEntry++
				if j := index[peer.ID]; !knows[j] {
					knows[j] = true
					count++
					next = append(next, j)
				}
			}
		}
		fresh = next
	}
	s.coverage = float64(count) / float64(n)
	s.pushesPerEntry /= float64(n)
	for count < n {
		s.rounds++
		next := append([]bool{}, knows...)
		for i := range n {
			for _, peer := range trackers[i].SelectPeers(random) {
				if j := index[peer.ID]; knows[i] || knows[j] {
					next[i], next[j] = true, true
				}
			}
		}
		knows, count = next, 0
		for _, k := range knows {
			if k {
				count++
			}
		}
	}
	return s
}

// runCapacity measures the slopes that docs/CAPACITY.md is worked out from.
func runCapacity(cfg Config) error {
	sizes := []int{8, 80, 410, 820, 1640}
	rows := [][]string{cells("entries|view bytes|take list|round|hear|news: hops|reached|pushes an entry|rounds to the rest|of")}
	for _, n := range sizes {
		view, round, heard := membershipCost(n)
		s := simulateUpdateSpread(n, cfg.Seed)
		rows = append(rows, cells("%d|%d|%s|%s|%s|%d|%.1f%%|%.1f|%d|%s", n, view.bytes, view.time, round, heard, s.hops, 100*s.coverage, s.pushesPerEntry, s.rounds, s.interval))
	}
	printTable(cfg.Out, "membership and spread", rows...)

	rows = [][]string{cells("workers|state bytes|take list|choose|choose by prefix")}
	for _, n := range sizes {
		workers := int(float64(n) * workersPerEntry)
		state, pick, prefixed := routingCost(workers)
		rows = append(rows, cells("%d|%d|%s|%s|%s", workers, state.bytes, state.time, pick, prefixed))
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
