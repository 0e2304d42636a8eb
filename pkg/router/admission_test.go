package router_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/router"
)

// picks returns how many of n requests at a time go to each upstream.
func picks(r *router.Router, now time.Time, n int) map[string]int {
	got := map[string]int{}
	for i := range n {
		if u, ok := r.Pick(now, router.Request{Deployment: "d", PrefixHash: uint64(i % 3)}); ok {
			r.Begin(u.ID)
			r.End(u.ID)
			got[u.ID]++
		}
	}
	return got
}

// An upstream whose response said that it leaves got work again when it was listed again,
// or listed as one that does not leave.
func TestLeavingByAResponseOutlivesTheList(t *testing.T) {
	r := router.New(router.Config{EntryID: "e", Seed: 1})
	r.Replace(start, fleet(2))
	require.True(t, r.RecordSignals(start, "u0", router.Signals{Leaving: true}))
	require.False(t, r.RecordSignals(start, "u0", router.Signals{Leaving: true}))
	require.Equal(t, router.Admission{Cause: router.CauseLeaving, Source: router.SourceResponse, Since: start}, r.Admission(start, "u0"))
	later := start.Add(time.Hour)
	r.Replace(later, fleet(2))
	require.Equal(t, map[string]int{"u1": 20}, picks(r, later, 20))
	r.Replace(later, fleet(2)[1:])
	require.Equal(t, router.CauseUnlisted, r.Admission(later, "u0").Cause)
	r.Replace(later.Add(time.Minute), fleet(2))
	require.Equal(t, map[string]int{"u1": 20}, picks(r, later.Add(time.Minute), 20))
}

// Leaving is that of one id: the next process of an upstream has another.
func TestLeavingByAResponseEndsWithTheID(t *testing.T) {
	r := router.New(router.Config{EntryID: "e", Seed: 1})
	r.Replace(start, fleet(1))
	r.RecordSignals(start, "u0", router.Signals{Leaving: true})
	_, ok := r.Pick(start, router.Request{Deployment: "d"})
	require.False(t, ok)
	next := fleet(1)
	next[0].ID = "u0 again"
	r.Replace(start, next)
	require.Equal(t, map[string]int{"u0 again": 20}, picks(r, start, 20))
	require.Equal(t, router.CauseUnlisted, r.Admission(start, "u0").Cause)
}

// An upstream that asked for time gets nothing before that is over, then one request, and
// twice as many in all with each step.
func TestBackoffEndsGradually(t *testing.T) {
	r := router.New(router.Config{EntryID: "e", Seed: 1})
	r.Replace(start, fleet(1))
	req := router.Request{Deployment: "d"}
	require.True(t, r.RecordSignals(start, "u0", router.Signals{RetryAfter: 2 * time.Second}))
	require.False(t, r.RecordSignals(start, "u0", router.Signals{RetryAfter: time.Second}), "a shorter time changes nothing")
	a := r.Admission(start, "u0")
	require.Equal(t, router.CauseBackoff, a.Cause)
	require.False(t, a.Until.Before(start.Add(2*time.Second)))
	next, known := r.NextReturn(start, req)
	require.True(t, known)
	require.Equal(t, a.Until, next)
	require.Empty(t, picks(r, a.Until.Add(-1), 20))
	total := 0
	for step := range 8 {
		at := a.Until.Add(time.Duration(step) * 250 * time.Millisecond)
		total += picks(r, at, 1000)["u0"]
		require.Equal(t, 1<<step, total)
		if step < 7 {
			require.Equal(t, router.CauseRecovering, r.Admission(at, "u0").Cause)
		}
	}
	require.Equal(t, 1000, picks(r, a.Until.Add(2*time.Second), 1000)["u0"])
	require.True(t, r.Admission(a.Until.Add(time.Hour), "u0").Allowed())
}

// An upstream that asks for a day, or longer, gets requests again after MaxBackoff.
func TestBackoffIsBounded(t *testing.T) {
	r := router.New(router.Config{EntryID: "e", Seed: 1})
	r.Replace(start, fleet(1))
	r.RecordSignals(start, "u0", router.Signals{RetryAfter: 24 * time.Hour})
	require.Equal(t, router.CauseBackoff, r.Admission(start.Add(router.MaxBackoff-1), "u0").Cause)
	require.True(t, r.Admission(start.Add(router.MaxBackoff+time.Second), "u0").Allowed())
	require.False(t, r.RecordSignals(start.Add(time.Hour), "u0", router.Signals{}))
}

// A suspect that asked for time got requests when all other upstreams were unavailable.
func TestBackoffBindsSuspects(t *testing.T) {
	r := router.New(router.Config{EntryID: "e", Seed: 1})
	r.Replace(start, fleet(2))
	r.Suspect("u0", start.Add(time.Minute))
	r.Suspect("u1", start.Add(time.Minute))
	r.RecordSignals(start, "u0", router.Signals{RetryAfter: time.Second})
	require.Equal(t, map[string]int{"u1": 20}, picks(r, start, 20))
}

// The retries of callers that no upstream could serve came before the first return.
func TestNextReturnIsThatOfTheFirstUpstream(t *testing.T) {
	r := router.New(router.Config{EntryID: "e", Seed: 1})
	r.Replace(start, fleet(3))
	req := router.Request{Deployment: "d"}
	r.RecordSignals(start, "u0", router.Signals{RetryAfter: 5 * time.Second})
	r.RecordSignals(start, "u1", router.Signals{Leaving: true})
	_, known := r.NextReturn(start, req)
	require.False(t, known, "u2 takes requests")
	r.RecordSignals(start, "u2", router.Signals{RetryAfter: time.Second})
	next, known := r.NextReturn(start, req)
	require.True(t, known)
	require.Equal(t, r.Admission(start, "u2").Until, next)
	r.Replace(start, fleet(4))
	r.Suspect("u3", start.Add(time.Minute))
	_, known = r.NextReturn(start, req)
	require.False(t, known, "a suspect is the last resort")
	r.Replace(start, fleet(3))
	r.MarkLeaving(start, "u0", 0)
	r.MarkLeaving(start, "u2", 0)
	_, known = r.NextReturn(start, req)
	require.False(t, known, "none returns")
}

// Each time in which an upstream is avoided has one beginning and one end.
func TestChangesAreReportedOnce(t *testing.T) {
	r := router.New(router.Config{EntryID: "e", Seed: 1})
	r.Replace(start, fleet(3))
	require.Empty(t, r.Changes(start))
	r.RecordSignals(start, "u0", router.Signals{RetryAfter: time.Second})
	changes := r.Changes(start)
	require.Len(t, changes, 1)
	require.True(t, changes[0].Before.Allowed())
	require.Equal(t, router.CauseBackoff, changes[0].After.Cause)
	require.Empty(t, r.Changes(start))
	r.RecordSignals(start, "u1", router.Signals{Leaving: true})
	require.Len(t, r.Changes(start), 1)
	require.Equal(t, map[router.Cause]int{router.CauseBackoff: 1, router.CauseLeaving: 1}, r.AvoidedCounts(start))
	r.Replace(start, fleet(1))
	changes = r.Changes(start.Add(time.Minute))
	require.Len(t, changes, 2)
	for _, c := range changes {
		require.Equal(t, map[string]router.Cause{"u0": router.CauseNone, "u1": router.CauseUnlisted}[c.ID], c.After.Cause)
	}
	require.Empty(t, r.Changes(start.Add(time.Minute)))
}

// Upstreams in a domain without connection got requests if the random sample held no
// others.
func TestUnreachableDomainsGetNothing(t *testing.T) {
	r := router.New(router.Config{EntryID: "e", Seed: 1, Choices: 1})
	r.Replace(start, fleet(4))
	r.SetUnreachableDomains(map[string]bool{"z0": true, "z1": true, "z2": true})
	require.Equal(t, map[string]int{"u3": 50}, picks(r, start, 50))
	r.SetUnreachableDomains(nil)
	require.Len(t, picks(r, start, 50), 4)
}

// returnEntries is the number of entries of the model, returnSlots that of the slots of an
// upstream. Requests take returnService.
const (
	returnEntries = 80
	returnSlots   = 8
	returnService = 200 * time.Millisecond
	returnLoad    = 0.6
	// returnRetry is the time after which callers that no upstream could serve come again.
	returnRetry = 100 * time.Millisecond
)

// All entries sent requests at once to an upstream whose backoff ended at the same time
// for all of them.
func TestReturnsAreSpreadOverEntries(t *testing.T) {
	for _, n := range []int{12, 40, 112} {
		for _, returning := range []int{1, n / 3, n} {
			t.Run(fmt.Sprintf("%d of %d", returning, n), func(t *testing.T) {
				m := newReturnModel(n, returning)
				end := start.Add(2 * time.Second)
				for now := start; now.Before(end.Add(6 * time.Second)); now = now.Add(time.Millisecond) {
					m.step(now)
				}
				for i := range returning {
					id := fmt.Sprintf("u%d", i)
					arrivals := m.arrivals[id]
					require.False(t, arrivals[0].Before(end), "%s is left alone", id)
					within := func(from, to time.Duration) int {
						return len(slices.DeleteFunc(slices.Clone(arrivals), func(at time.Time) bool { return at.Before(end.Add(from)) || !at.Before(end.Add(to)) }))
					}
					full := int(returnLoad * returnSlots * float64(time.Second/returnService))
					require.LessOrEqual(t, within(0, 200*time.Millisecond), 2*returnSlots, "the first requests come one after the other")
					require.GreaterOrEqual(t, within(4*time.Second, 6*time.Second), full, "%s has half of its part again", id)
				}
			})
		}
	}
}

// returnModel is entries in front of upstreams, the first of which ask all entries for
// time at the start.
type returnModel struct {
	random    *rand.Rand
	routers   []*router.Router
	rate      float64
	arrivals  map[string][]time.Time
	ends      []func(now time.Time) bool
	waiting   []time.Time
	upstreams []router.Upstream
}

func newReturnModel(n, returning int) *returnModel {
	m := &returnModel{random: rand.New(rand.NewPCG(1, uint64(n))), arrivals: map[string][]time.Time{}, upstreams: fleet(n)}
	m.rate = returnLoad * float64(n*returnSlots) / float64(returnService/time.Millisecond)
	for e := range returnEntries {
		r := router.New(router.Config{EntryID: fmt.Sprint("e", e), Seed: uint64(e), Choices: 3})
		r.SetEntryCount(returnEntries)
		r.Replace(start, m.upstreams)
		for _, u := range m.upstreams[:returning] {
			r.RecordSignals(start, u.ID, router.Signals{RetryAfter: 2 * time.Second})
		}
		m.routers = append(m.routers, r)
	}
	return m
}

// step runs one millisecond.
func (m *returnModel) step(now time.Time) {
	m.ends = slices.DeleteFunc(m.ends, func(end func(time.Time) bool) bool { return end(now) })
	if now.Sub(start)%(100*time.Millisecond) == 0 {
		m.exchangeLoad(now)
	}
	requests := int(m.rate)
	if m.random.Float64() < m.rate-float64(requests) {
		requests++
	}
	// Requests that no upstream could serve come again.
	again := 0
	for _, at := range m.waiting {
		if !now.Before(at) {
			again++
		}
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(at time.Time) bool { return !now.Before(at) })
	for range requests + again {
		r := m.routers[m.random.IntN(len(m.routers))]
		u, ok := r.Pick(now, router.Request{Deployment: "d"})
		if !ok {
			m.waiting = append(m.waiting, now.Add(returnRetry))
			continue
		}
		m.arrivals[u.ID] = append(m.arrivals[u.ID], now)
		r.Begin(u.ID)
		done := now.Add(returnService)
		m.ends = append(m.ends, func(now time.Time) bool {
			if now.Before(done) {
				return false
			}
			r.End(u.ID)
			return true
		})
	}
}

// exchangeLoad passes the load of each entry to the others.
func (m *returnModel) exchangeLoad(now time.Time) {
	total, own := map[string]float64{}, make([]map[string]float64, len(m.routers))
	for i, r := range m.routers {
		own[i] = r.OwnLoad()
		for id, load := range own[i] {
			total[id] += load
		}
	}
	for i, r := range m.routers {
		for _, u := range m.upstreams {
			r.SetRemoteLoad(now, u.ID, total[u.ID]-own[i][u.ID])
		}
	}
}
