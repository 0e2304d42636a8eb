package aggregator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenahitch/galenahitch/pkg/aggregator"
)

const peerTimeout = 800 * time.Millisecond

var start = time.UnixMilli(1_700_000_000_000)

// Two relays report the same group from different starting points. Messages are
// lost, late and duplicated, and relays pause. No growth may be missed. The growth
// counted twice is at most what was spent between the last message of the standby
// and the message of the active relay before the switch.
func TestTwoRelaysTellOneSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := aggregator.New(peerTimeout)
		now := start
		spent, counted, overlap := 0.0, 0.0, 0.0
		offset := []float64{0, float64(rapid.IntRange(0, 1000).Draw(t, "offset"))}
		// reported is what was spent as of each relay's newest message; atSwitch is the
		// same as of the last time that growth was counted.
		reported, atSwitch, active := []float64{0, 0}, []float64{0, 0}, -1
		var late []aggregator.Report
		deliver := func(relay int, at float64, r aggregator.Report) {
			more := a.Merge(now, r)["x"]
			counted += more
			reported[relay] = max(reported[relay], at)
			if more == 0 {
				return
			}
			if active >= 0 && active != relay {
				overlap += max(0, atSwitch[active]-atSwitch[relay])
			}
			active = relay
			copy(atSwitch, reported)
		}
		report := func(relay int) aggregator.Report {
			return aggregator.Report{Group: "g", Source: fmt.Sprint(relay), Boot: 1, Entries: 20, Totals: aggregator.Totals{"x": offset[relay] + spent}}
		}
		deliver(0, 0, report(0))
		deliver(1, 0, report(1))
		silent := -1
		for tick := range 200 {
			now = now.Add(100 * time.Millisecond)
			spent += float64(rapid.IntRange(0, 50).Draw(t, "spent"))
			if tick%20 == 19 {
				silent = rapid.IntRange(-1, 1).Draw(t, "silent")
			}
			for relay := range 2 {
				if relay == silent || rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					continue
				}
				deliver(relay, spent, report(relay))
				late = append(late, report(relay))
			}
			if len(late) > 0 && tick%3 == 0 {
				r := late[rapid.IntRange(max(0, len(late)-4), len(late)-1).Draw(t, "late")]
				relay := int(r.Source[0] - '0')
				deliver(relay, r.Totals["x"]-offset[relay], r)
			}
			require.LessOrEqual(t, counted, spent+overlap)
		}
		for relay := range 2 {
			deliver(relay, spent, report(relay))
		}
		require.Equal(t, 20, a.Entries(now))
		require.GreaterOrEqual(t, counted, spent)
		require.LessOrEqual(t, counted, spent+overlap)
	})
}

// When the active relay fails, the standby's growth is counted from the active
// relay's last report.
func TestStandbyTakesOverWithoutAGap(t *testing.T) {
	a := aggregator.New(peerTimeout)
	merge := func(now time.Time, source string, total float64) float64 {
		return a.Merge(now, aggregator.Report{Group: "g", Source: source, Boot: 1, Entries: 3, Totals: aggregator.Totals{"x": total}})["x"]
	}
	now := start
	require.Zero(t, merge(now, "r1", 100), "the first report is a starting point")
	require.Zero(t, merge(now, "r2", 5000))
	require.InDelta(t, 20, merge(now.Add(200*time.Millisecond), "r1", 120), 0)
	now = now.Add(300 * time.Millisecond)
	require.Zero(t, merge(now, "r2", 5050), "the standby is not counted")
	now = now.Add(peerTimeout)
	require.Equal(t, 3, a.Entries(now.Add(-peerTimeout)))
	require.InDelta(t, 80, merge(now, "r2", 5080), 0)
	require.True(t, a.Active("g", "r2"))
	require.InDelta(t, 10, merge(now, "r2", 5090), 0)
	require.Equal(t, 3, a.Entries(now))
	require.Zero(t, a.Entries(now.Add(2*peerTimeout)))
}

// A restarted process counts from zero. Late messages of the run before it
// change nothing.
func TestRestartCountsFromZero(t *testing.T) {
	a := aggregator.New(peerTimeout)
	report := aggregator.Report{Group: "g", Source: "e", Boot: 5, Entries: 1, Totals: aggregator.Totals{"x": 100}}
	require.Zero(t, a.Merge(start, report)["x"])
	report.Boot, report.Totals = 6, aggregator.Totals{"x": 7}
	require.InDelta(t, 7, a.Merge(start, report)["x"], 0)
	report.Boot, report.Totals = 5, aggregator.Totals{"x": 900}
	require.Zero(t, a.Merge(start, report)["x"])
	require.False(t, a.Drop("g", "e"))
	require.Zero(t, a.Entries(start))
}

func entries(n, domains int) []aggregator.Member {
	var list []aggregator.Member
	for i := range n {
		capacity := 0.2
		if i < 2*domains {
			capacity = 0.8
		}
		list = append(list, aggregator.Member{ID: fmt.Sprint("e", i), Domain: fmt.Sprint("d", i%domains), Capacity: capacity})
	}
	return list
}

func newPlan(all []aggregator.Member, self int) aggregator.Plan {
	others := append(append([]aggregator.Member{}, all[:self]...), all[self+1:]...)
	return aggregator.NewPlan(all[self], others)
}

// A few entries exchange messages directly. Among many, the two largest of each
// domain are the relays, and all entries compute the same ones.
func TestEntriesAgreeOnRelays(t *testing.T) {
	small := newPlan(entries(9, 4), 3)
	require.True(t, small.IsRelay)
	require.Empty(t, small.Members)
	require.Len(t, small.RemoteRelays, 8)
	for _, n := range []int{30, 81, 300, 820} {
		all := entries(n, 5)
		relays := 0
		for self := range all {
			p := newPlan(all, self)
			require.Len(t, p.RemoteRelays, 4)
			for _, others := range p.RemoteRelays {
				require.Len(t, others, 2)
			}
			if p.IsRelay {
				relays++
				require.InDelta(t, 0.8, all[self].Capacity, 0)
				require.Len(t, p.Relays, 1)
			} else {
				require.Len(t, p.Relays, 2)
			}
		}
		require.Equal(t, 10, relays)
	}
}

// The next entry replaces a silent relay. The silent one still gets reports, so
// that its recovery is seen.
func TestSilentRelaysAreReplaced(t *testing.T) {
	all := entries(40, 4)
	before := newPlan(all, 20)
	for i := range all {
		if all[i].ID == before.Relays[0] {
			all[i].Silent = true
		}
	}
	after := newPlan(all, 20)
	require.Len(t, after.Relays, 3)
	require.Contains(t, after.Relays, before.Relays[0])
	require.Contains(t, after.Relays, before.Relays[1])
}

func TestFailureDetectorKeepsSilenceForAWhile(t *testing.T) {
	var d aggregator.FailureDetector
	require.False(t, d.Silent(start, peerTimeout))
	d.Expect(start, true, peerTimeout)
	require.False(t, d.Silent(start.Add(peerTimeout), peerTimeout))
	now := start.Add(peerTimeout + time.Millisecond)
	require.True(t, d.Silent(now, peerTimeout))
	d.Expect(now, false, peerTimeout)
	require.True(t, d.Silent(now, peerTimeout))
	d.Expect(now.Add(6*time.Second), false, peerTimeout)
	require.False(t, d.Silent(now.Add(6*time.Second), peerTimeout))
	d.Received(now)
	require.Equal(t, now, d.LastReceived())
}
