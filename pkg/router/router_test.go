package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenahitch/galenahitch/pkg/router"
)

var start = time.UnixMilli(1_700_000_000_000)

func fleet(n int) []router.Upstream {
	list := make([]router.Upstream, 0, n)
	for i := range n {
		list = append(list, router.Upstream{
			ID: fmt.Sprintf("u%d", i), Deployment: "d", Version: "v1", FailureDomain: fmt.Sprintf("z%d", i%4), Slots: 8,
		})
	}
	return list
}

// An upstream with a notice gets no new attempts, in whatever order notices, VM
// lists, suspicions and failures arrive.
func TestLeavingIsPermanent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := router.New(router.Config{EntryID: "e", Seed: 1})
		now := start
		leaving := map[string]bool{}
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprintf("u%d", rapid.IntRange(0, 5).Draw(t, "id"))
			switch rapid.IntRange(0, 5).Draw(t, "act") {
			case 0:
				r.Replace(now, fleet(rapid.IntRange(0, 6).Draw(t, "listed")))
			case 1:
				leaving[id] = true
				r.MarkLeaving(now, id, time.Minute)
			case 2:
				r.Suspect(id, now.Add(time.Second))
			case 3:
				r.RecordFailure(now, id)
			default:
				req := router.Request{Deployment: "d", PrefixHash: uint64(rapid.IntRange(0, 3).Draw(t, "prefix"))}
				if u, ok := r.Pick(now, req); ok {
					require.False(t, leaving[u.ID], "picked %s", u.ID)
				}
			}
		}
	})
}

func TestSpreadsByFreshCountsAndLateReports(t *testing.T) {
	r := router.New(router.Config{EntryID: "e", Seed: 1})
	r.Replace(start, fleet(4))
	for id, running := range map[string]int{"u0": 8, "u1": 8, "u2": 8} {
		r.SetReportedLoad(start, id, running, 8)
	}
	picked := map[string]int{}
	for range 60 {
		u, ok := r.Pick(start, router.Request{Deployment: "d"})
		require.True(t, ok)
		picked[u.ID]++
	}
	require.Greater(t, picked["u3"], 20, "the idle upstream has the lowest score")
	require.Len(t, r.UpstreamsWithStaleReport(start), 1, "only u3 has not reported its load")
	require.Len(t, r.UpstreamsWithStaleReport(start.Add(time.Minute)), 4)
	// The reports expire; only this entry's in-flight counts are left.
	for range 8 {
		r.Begin("u3")
	}
	picked = map[string]int{}
	for range 60 {
		u, _ := r.Pick(start.Add(time.Minute), router.Request{Deployment: "d"})
		picked[u.ID]++
	}
	require.Less(t, picked["u3"], 10)
}

func TestPrefixAffinityEndsAtTheLoadBound(t *testing.T) {
	r := router.New(router.Config{EntryID: "e", Seed: 1})
	r.Replace(start, fleet(8))
	req := router.Request{Deployment: "d", PrefixHash: 42}
	preferred, ok := r.Pick(start, req)
	require.True(t, ok)
	overflow := 0
	for range 24 {
		u, _ := r.Pick(start, req)
		if u.ID != preferred.ID {
			overflow++
		}
		r.Begin(u.ID)
	}
	require.Positive(t, overflow, "one prefix does not overload its upstream")
	require.Less(t, overflow, 24)
}

func TestSubsetsAreBoundedAndReachOtherDomains(t *testing.T) {
	r := router.New(router.Config{EntryID: "e", FailureDomain: "z0", MaxSubset: 16})
	r.Replace(start, fleet(400))
	local := 0
	for _, u := range r.Upstreams() {
		if u.FailureDomain == "z0" {
			local++
		}
	}
	require.Len(t, r.Upstreams(), 16)
	require.Equal(t, 12, local)
}

func TestSuspectsGetNoWorkUnlessAllAreSuspects(t *testing.T) {
	r := router.New(router.Config{EntryID: "e", Seed: 1})
	r.Replace(start, fleet(2))
	for range 3 {
		r.RecordFailure(start, "u0")
	}
	for range 20 {
		u, _ := r.Pick(start, router.Request{Deployment: "d"})
		require.Equal(t, "u1", u.ID)
	}
	r.Suspect("u1", start.Add(time.Second))
	_, ok := r.Pick(start, router.Request{Deployment: "d"})
	require.True(t, ok, "when all are suspects, one of them is better than none")
	require.Equal(t, 16, r.Capacity(start.Add(time.Minute), "d"))
}

// A failure domain with a large penalty, as an unreachable one has, gets requests
// only if no other upstream is eligible. The same applies to requests whose prefix
// hashes to one of its upstreams.
func TestDomainPenaltyKeepsRequestsFromADomain(t *testing.T) {
	r := router.New(router.Config{EntryID: "e", Seed: 1})
	r.Replace(start, fleet(8))
	r.SetDomainPenalties(map[string]float64{"z1": 4})
	for prefix := range 200 {
		u, ok := r.Pick(start, router.Request{Deployment: "d", PrefixHash: uint64(prefix)})
		require.True(t, ok)
		require.NotEqual(t, "z1", u.FailureDomain)
		r.Begin(u.ID)
		r.End(u.ID)
	}
	r.Replace(start, fleet(8)[1:2])
	u, ok := r.Pick(start, router.Request{Deployment: "d"})
	require.True(t, ok)
	require.Equal(t, "z1", u.FailureDomain)
	r.SetDomainPenalties(nil)
}

// The load of other entries and the load adjustment count like this entry's
// in-flight attempts; the load of other entries expires.
func TestRemoteLoadAndAdjustmentCount(t *testing.T) {
	r := router.New(router.Config{Seed: 1})
	r.Replace(start, fleet(2))
	r.SetRemoteLoad(start, "u0", 3)
	r.AdjustLoad("u1", 2)
	require.InDelta(t, 3, r.EstimatedLoad(start, "u0"), 0)
	require.InDelta(t, 2, r.EstimatedLoad(start, "u1"), 0)
	u, _ := r.Pick(start, router.Request{Deployment: "d"})
	require.Equal(t, "u1", u.ID)
	require.Equal(t, map[string]float64{"u1": 2}, r.OwnLoad())
	require.Zero(t, r.EstimatedLoad(start.Add(time.Minute), "u0"), "the load of other entries has expired")
	r.AdjustLoad("u1", -5)
	require.Zero(t, r.EstimatedLoad(start, "u1"))
}

// One of four upstreams fails 40% of its attempts, as in a grey failure that a
// health check misses; the others fail 10%. It gets a small part of the requests,
// but not none, and its full part again once its failure rate is normal.
func TestGreyUpstreamGetsFewRequests(t *testing.T) {
	r := router.New(router.Config{EntryID: "e", Seed: 1})
	r.Replace(start, fleet(4))
	random := rand.New(rand.NewPCG(1, 1))
	now := start
	serve := func(n int, grey float64) float64 {
		got := 0
		for range n {
			now = now.Add(25 * time.Millisecond)
			u, ok := r.Pick(now, router.Request{Deployment: "d"})
			require.True(t, ok)
			r.Begin(u.ID)
			r.End(u.ID)
			chance := 0.1
			if u.ID == "u0" {
				got++
				chance = max(chance, grey)
			}
			if random.Float64() < chance {
				r.RecordFailure(now, u.ID)
			} else {
				r.RecordSuccess(u.ID)
			}
		}
		return float64(got) / float64(n)
	}
	require.InDelta(t, 0.25, serve(400, 0), 0.06)
	serve(100, 0.4)
	share := serve(800, 0.4)
	require.Less(t, share, 0.12)
	require.Positive(t, share)
	serve(400, 0)
	require.InDelta(t, 0.25, serve(800, 0), 0.06)
}
