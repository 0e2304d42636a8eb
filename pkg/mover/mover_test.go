package mover_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenahitch/galenahitch/pkg/charter"
	"github.com/galenahitch/galenahitch/pkg/mover"
)

var start = time.UnixMilli(1_700_000_000_000)

func moves() *rapid.Generator[mover.Move] {
	return rapid.Custom(func(t *rapid.T) mover.Move {
		return mover.Move{
			ID: "m", Epoch: rapid.Uint64Range(1, 3).Draw(t, "epoch"), Revision: rapid.Uint64Range(0, 4).Draw(t, "revision"),
			State:  rapid.SampledFrom([]charter.State{mover.Moving, mover.Baking, mover.Done, mover.RolledBack}).Draw(t, "state"),
			Reason: rapid.SampledFrom([]string{"", "failures", "late"}).Draw(t, "reason"),
		}
	})
}

func TestMergeIsASemilattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := moves().Draw(t, "a"), moves().Draw(t, "b"), moves().Draw(t, "c")
		require.True(t, mover.Merge(a, a).SameState(a))
		require.True(t, mover.Merge(a, b).SameState(mover.Merge(b, a)))
		require.True(t, mover.Merge(mover.Merge(a, b), c).SameState(mover.Merge(a, mover.Merge(b, c))))
	})
}

// Late and repeated messages must not reopen a move that was rolled back.
func TestRolledBackIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := mover.Start(start, mover.Move{ID: "m", Epoch: 1, Deployment: "d", From: "v1", To: "v2"}, "ana", time.Minute)
		states := []mover.Move{first}
		policy := mover.DefaultPolicy()
		now := start
		for range 12 {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			next, _ := mover.Advance(now, states[len(states)-1], mover.Evidence{Outcomes: rapid.IntRange(0, 400).Draw(t, "outcomes"), UpstreamsReady: true}, policy)
			states = append(states, next)
		}
		inProgress := slices.DeleteFunc(slices.Clone(states), func(m mover.Move) bool { return !m.InProgress() })
		rolledBack := mover.RollBack(now, rapid.SampledFrom(inProgress).Draw(t, "at"), "system", "failures")
		merged := rolledBack
		for range 30 {
			merged = mover.Merge(merged, states[rapid.IntRange(0, len(states)-1).Draw(t, "late")])
			require.Equal(t, mover.RolledBack, merged.State)
			require.Equal(t, "v1", merged.Current())
			require.Zero(t, mover.Share(merged, policy))
		}
	})
}

func TestAdvanceReachesFullTrafficInTime(t *testing.T) {
	policy := mover.DefaultPolicy()
	m := mover.Start(start, mover.Move{ID: "m", Epoch: 1, Deployment: "d", From: "v1", To: "v2"}, "ana", 10*time.Minute)
	now := start
	shares := []float64{}
	for m.InProgress() && now.Before(start.Add(time.Hour)) {
		now = now.Add(time.Second)
		next, event := mover.Advance(now, m, mover.Evidence{Outcomes: 1000, UpstreamsReady: true}, policy)
		if event != "" {
			shares = append(shares, mover.Share(next, policy))
		}
		m = next
	}
	require.Equal(t, mover.Done, m.State)
	require.Equal(t, []float64{0.05, 0.2, 0.5, 1, 1}, shares)
	require.LessOrEqual(t, m.FullMS, m.DeadlineMS)
	require.Len(t, m.History, 6)
}

func TestAdvanceWaitsForReadyUpstreamsAndForOutcomes(t *testing.T) {
	policy := mover.DefaultPolicy()
	m := mover.Start(start, mover.Move{ID: "m", Epoch: 1, Deployment: "d"}, "ana", 10*time.Minute)
	later := start.Add(5 * time.Minute)
	_, event := mover.Advance(later, m, mover.Evidence{Outcomes: 1000}, policy)
	require.Empty(t, event)
	_, event = mover.Advance(later, m, mover.Evidence{Outcomes: 0, UpstreamsReady: true}, policy)
	require.Empty(t, event)
	_, event = mover.Advance(later, m, mover.Evidence{Outcomes: 10, UpstreamsReady: true}, policy)
	require.Equal(t, mover.Event("step_1"), event, "a third of the needed outcomes is enough once the step has used up its time")
	require.Positive(t, mover.DeadlineOverrun(later, m, policy, 0.1))
	require.Zero(t, mover.DeadlineOverrun(start, m, policy, 1000))
}

func TestSelectedFollowsTheShare(t *testing.T) {
	m := mover.Move{ID: "m", State: mover.Moving}
	hits := 0
	random := rand.New(rand.NewPCG(1, 2))
	const n = 20000
	for range n {
		if mover.Selected(string(rune(random.Uint32()%0x10000))+time.Duration(random.Int64()).String(), m, 0.05) {
			hits++
		}
	}
	require.InDelta(t, 0.05, float64(hits)/n, 0.006)
}

func TestMayStartCapsTheFirstStep(t *testing.T) {
	policy := mover.DefaultPolicy()
	m := mover.Move{State: mover.Moving}
	require.True(t, mover.MayStart(m, policy, 3))
	require.False(t, mover.MayStart(m, policy, 4))
	m.Step = 1
	require.True(t, mover.MayStart(m, policy, 19))
	require.False(t, mover.MayStart(m, policy, 20))
	m.State = mover.RolledBack
	require.False(t, mover.MayStart(m, policy, 0))
}

// Reading the comparison after every outcome must not raise the rate of false
// alarms, and each kind of fault must be found within few bad outcomes.
func TestComparisonReadAfterEveryOutcome(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	falseAlarms := 0
	for range 200 {
		var c mover.Comparison
		for range 2000 {
			c.Observe(outcome(random, 0.02, 0.1), outcome(random, 0.02, 0.1))
		}
		if c.RollBackReason() != "" {
			falseAlarms++
		}
	}
	require.LessOrEqual(t, falseAlarms, 2, "good versions rolled back")

	// No sequential test can find a rate q against a null rate p faster, in the
	// mean, than log(1/alpha) divided by their divergence. 1.5 times that is
	// allowed, since the test mixes several bets.
	for _, fault := range []struct{ failed, slow, null float64 }{
		{1, 0, 0.046}, {0.2, 0.1, 0.046}, {0.02, 0.9, 0.22},
	} {
		rate := fault.failed
		if fault.slow > rate {
			rate = fault.slow * (1 - fault.failed)
		}
		divergence := rate * math.Log(rate/fault.null)
		if rate < 1 {
			divergence += (1 - rate) * math.Log((1-rate)/(1-fault.null))
		}
		total := 0
		const runs = 100
		for range runs {
			var c mover.Comparison
			for range 500 {
				c.Observe(outcome(random, 0.02, 0.1), outcome(random, 0.02, 0.1))
			}
			for c.RollBackReason() == "" && total < 1e6 {
				total++
				c.Observe(outcome(random, 0.02, 0.1), outcome(random, fault.failed, fault.slow))
			}
		}
		require.Less(t, float64(total)/runs, 1.5*math.Log(3e5)/divergence+1, "outcomes until %+v was found", fault)
	}
}

func outcome(random *rand.Rand, failed, slow float64) mover.Counts {
	c := mover.Counts{Outcomes: 1}
	if random.Float64() < failed {
		c.Failed = 1
	} else if random.Float64() < slow {
		c.Slow = 1
	}
	return c
}

func TestLatencyThresholdFollowsTheQuantile(t *testing.T) {
	var l mover.LatencyThreshold
	random := rand.New(rand.NewPCG(3, 4))
	require.Equal(t, time.Second, l.Threshold(time.Second))
	for range 5000 {
		l.Observe(time.Duration(random.IntN(1000)) * time.Millisecond)
	}
	require.InDelta(t, 900*1.3, float64(l.Threshold(0).Milliseconds()), 120)
}

// A fault of a single route can be found in the total of all routes first. The
// reason must name that route all the same.
func TestReasonNamesTheRoute(t *testing.T) {
	var c mover.Comparisons
	for range 100 {
		for _, route := range []string{"a", "b", "c"} {
			c.Observe(route, mover.Counts{Outcomes: 1}, mover.Counts{})
		}
	}
	for c.RollBackReason() == "" {
		c.Observe("b", mover.Counts{}, mover.Counts{Outcomes: 1, Failed: 1})
		c.Observe("a", mover.Counts{}, mover.Counts{Outcomes: 1})
	}
	require.Contains(t, c.RollBackReason(), "on route b")
}
