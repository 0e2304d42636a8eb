package tracker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/tracker"
)

var start = time.UnixMilli(1_700_000_000_000)

func member(i int) tracker.Member {
	return tracker.Member{ID: fmt.Sprintf("e%03d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), FailureDomain: fmt.Sprintf("z%d", i%4)}
}

func TestReachabilityFollowsFailures(t *testing.T) {
	tr := tracker.New(tracker.Config{Self: member(0)})
	tr.UpdateList(start, []tracker.Member{member(0), member(1), member(2)})
	tr.RecordContact(start, member(1), 7, true, false)
	reachability := func(at time.Time) string {
		all := tr.Statuses(at)
		require.Len(t, all, 2, "an entry is not in its own list")
		return string(all[0].Reachability) + " " + string(all[1].Reachability)
	}
	require.Equal(t, "alive suspect", reachability(start.Add(time.Minute)), "a member without any contact is a suspect")
	tr.RecordFailure(start.Add(time.Second), "e001")
	tr.RecordFailure(start.Add(2*time.Second), "e001")
	require.Equal(t, "suspect suspect", reachability(start.Add(3*time.Second)))
	require.Equal(t, "out_of_reach suspect", reachability(start.Add(4*time.Second)))
	tr.RecordContact(start.Add(5*time.Second), member(1), 7, true, false)
	require.Equal(t, "alive suspect", reachability(start.Add(5*time.Second)))
	// The member is no longer listed, but stays until it has been silent for long.
	tr.UpdateList(start.Add(time.Minute), nil)
	tr.RecordContact(start.Add(time.Minute), member(1), 5, true, false)
	require.Equal(t, uint64(7), tr.Statuses(start.Add(time.Minute))[0].Generation, "a generation never goes down")
	tr.UpdateList(start.Add(time.Hour), nil)
	require.Empty(t, tr.Statuses(start.Add(time.Hour)))
}

func TestRoundsStaySmallAndCrossDomains(t *testing.T) {
	tr := tracker.New(tracker.Config{Self: member(0)})
	var all []tracker.Member
	for i := range 800 {
		all = append(all, member(i))
	}
	tr.UpdateList(start, all)
	random := rand.New(rand.NewPCG(1, 1))
	selected := map[string]bool{}
	for range 16000 {
		round := tr.SelectPeers(random)
		own := 0
		for _, m := range round {
			if m.FailureDomain == "z0" {
				own++
			}
			selected[m.ID] = true
		}
		require.Equal(t, 2, own)
		require.LessOrEqual(t, len(round), 3)
	}
	require.Len(t, selected, 799, "each member is selected at some time")
	require.Greater(t, tr.RoundInterval(), time.Second)
	tr.RecordFailure(start, "e005")
	require.Contains(t, tr.SelectPeers(random), member(5), "a failing member is tried again")

	small := tracker.New(tracker.Config{Self: member(0)})
	small.UpdateList(start, all[:9])
	domains := map[string]int{}
	for _, m := range small.SelectPeers(random) {
		domains[m.FailureDomain]++
	}
	require.Equal(t, map[string]int{"z0": 2, "z1": 1, "z2": 1, "z3": 1}, domains)
	require.Less(t, small.RoundInterval(), time.Second)
}

func TestRankedMembersPrefersReachableOnes(t *testing.T) {
	tr := tracker.New(tracker.Config{Self: member(0)})
	for i := 1; i < 6; i++ {
		tr.AddMember(start, member(i))
	}
	tr.RecordContact(start, member(4), 1, true, false)
	tr.RecordContact(start, member(5), 1, true, true)
	ranked := tr.RankedMembers(start, "request", 2)
	require.Equal(t, "e004", ranked[0].ID)
	require.Equal(t, "e005", ranked[1].ID, "a leaving member comes after a staying one")
	require.Equal(t, 5, tr.ServingEntries(start), "this entry and all members neither unreachable nor leaving")
}
