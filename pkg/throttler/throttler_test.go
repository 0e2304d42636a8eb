package throttler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenahitch/galenahitch/internal/seeder"
	"github.com/galenahitch/galenahitch/pkg/aggregator"
	"github.com/galenahitch/galenahitch/pkg/throttler"
)

func TestMain(m *testing.M) { seeder.Main(m) }

var start = time.UnixMilli(1_700_000_000_000)

const (
	org = "luna"
	// allowance is what operators tolerate beyond the quota in any window, for the largest
	// organisation of the sites.
	allowance = 3_300.0
)

// group is a number of entries that report their spending to each other.
type group struct {
	entries     []*throttler.Throttler
	aggregators []*aggregator.Aggregator
	boots       []uint64
}

func newGroup(now time.Time, n int) *group {
	g := &group{}
	for range n {
		g.entries = append(g.entries, nil)
		g.aggregators = append(g.aggregators, nil)
		g.boots = append(g.boots, 0)
	}
	for i := range n {
		g.start(now, i)
	}
	return g
}

const peerTimeout = 700 * time.Millisecond

// start starts or restarts an entry's process.
func (g *group) start(now time.Time, i int) {
	g.entries[i], g.aggregators[i] = g.newThrottler(now, len(g.entries)), aggregator.New(peerTimeout)
	g.boots[i]++
}

func (g *group) newThrottler(now time.Time, n int) *throttler.Throttler {
	th := throttler.New(throttler.Config{Start: now, PeerTimeout: peerTimeout, ReportInterval: 200 * time.Millisecond, MaxDebt: allowance / 4})
	th.SetKnownEntries(n)
	return th
}

// exchange delivers each entry's spending to the others where link allows it.
func (g *group) exchange(now time.Time, link func(from, to int) bool) {
	for from, th := range g.entries {
		for to, other := range g.entries {
			if from != to && link(from, to) {
				name := fmt.Sprint(from)
				other.AddRemoteSpending(g.aggregators[to].Merge(now, aggregator.Report{
					Group: name, Source: name, Boot: g.boots[from], Entries: 1, Totals: th.LocalSpending(),
				}))
				other.SetReachableEntries(now, 1+g.aggregators[to].Entries(now))
			}
		}
	}
}

func allLinks(int, int) bool { return true }

// restartTime is the shortest time from the kill of a process to the start of the next one.
const restartTime = 200 * time.Millisecond

// One organisation sends many times its quota, to all entries or to one, while
// messages are late and lost, entries restart, one by one and all together, and groups are
// cut off from each other. In each window of eight seconds the admitted cost must not exceed the
// quota plus the 10 % and the allowance that operators tolerate.
func TestHotOrganisationStaysWithinItsQuota(t *testing.T) {
	const (
		step    = 100 * time.Millisecond
		window  = 80
		rate    = 10_000.0
		overage = 1.1
	)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "entries")
		allRestartAt := rapid.IntRange(0, 300).Draw(t, "all restart")
		g := newGroup(start, n)
		now := start
		cut := 0
		var ran []float64
		for tick := range 300 {
			now = now.Add(step)
			if tick%50 == 25 {
				cut = rapid.IntRange(0, n-1).Draw(t, "cut")
			}
			if tick%37 == 30 {
				g.start(now, rapid.IntRange(0, n-1).Draw(t, "restart"))
			}
			if tick == allRestartAt {
				now = now.Add(restartTime)
				for i := range g.entries {
					g.start(now, i)
				}
			}
			spent := 0.0
			for i, th := range g.entries {
				if i%2 == 1 && tick%2 == 0 {
					continue
				}
				for range rapid.IntRange(0, 6).Draw(t, "asks") {
					cost := float64(rapid.SampledFrom([]int{50, 200, 600, 600, 4000}).Draw(t, "cost"))
					if ok, wait := th.Allow(now, org, throttler.Limit{Rate: rate, Burst: rate}, throttler.Request{Cost: cost}); ok {
						spent += cost
					} else {
						require.Positive(t, wait)
					}
				}
			}
			ran = append(ran, spent)
			if tick%2 == 0 {
				g.exchange(now, func(from, to int) bool { return (from < cut) == (to < cut) })
			}
			total := 0.0
			for _, s := range ran[max(0, len(ran)-window):] {
				total += s
			}
			require.LessOrEqual(t, total, (rate*8+rate)*overage+allowance)
		}
	})
}

// All callers of an organisation use one of six entries and need nearly the
// whole quota. An entry that admitted only its own share would refuse requests.
func TestNothingWithinTheQuotaIsRefused(t *testing.T) {
	g := newGroup(start, 6)
	now := start
	now = now.Add(time.Second)
	g.exchange(now, allLinks)
	for tick := range 500 {
		now = now.Add(20 * time.Millisecond)
		if tick%10 == 0 {
			g.exchange(now, allLinks)
		}
		ok, _ := g.entries[0].Allow(now, org, throttler.Limit{Rate: 100_000, Burst: 100_000}, throttler.Request{Cost: 1900})
		require.True(t, ok)
	}
}

// An entry without reachable peers spends only its own share.
func TestEntryWithoutPeersSpendsItsShare(t *testing.T) {
	th := throttler.New(throttler.Config{Start: start, PeerTimeout: time.Second})
	th.SetKnownEntries(4)
	now := start
	spent := 0.0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if ok, _ := th.Allow(now, org, throttler.Limit{Rate: 1000, Burst: 1000}, throttler.Request{Cost: 10}); ok {
			spent += 10
		}
	}
	require.InDelta(t, 2500, spent, 20)
}

// A request above the whole burst is admitted by a full bucket, and its debt must
// refill before the next request.
func TestLargeRequestsAreNotStarved(t *testing.T) {
	th := throttler.New(throttler.Config{Start: start, PeerTimeout: time.Second})
	limit := throttler.Limit{Rate: 100, Burst: 100}
	ok, wait := th.Allow(start, org, limit, throttler.Request{Cost: 250})
	require.False(t, ok)
	require.Equal(t, time.Second, wait)
	ok, _ = th.Allow(start.Add(wait), org, limit, throttler.Request{Cost: 250})
	require.True(t, ok)
	ok, wait = th.Allow(start.Add(time.Second), org, limit, throttler.Request{Cost: 10})
	require.False(t, ok)
	require.Equal(t, 1600*time.Millisecond, wait)
}

// Many small requests use up a quota far below the load, so a large request would
// never find enough tokens. MaxDebt lets it pass.
func TestLargeRequestsPassAmongManySmallOnes(t *testing.T) {
	th := throttler.New(throttler.Config{Start: start, PeerTimeout: time.Second, MaxDebt: 300})
	limit := throttler.Limit{Rate: 100, Burst: 100}
	now := start
	large := 0
	for tick := range 1000 {
		now = now.Add(20 * time.Millisecond)
		if tick%7 > 0 {
			_, _ = th.Allow(now, org, limit, throttler.Request{Cost: 10})
		} else if ok, _ := th.Allow(now, org, limit, throttler.Request{Cost: 200}); ok {
			large++
		}
	}
	require.Greater(t, large, 3)
	require.LessOrEqual(t, th.LocalSpending()[org], 20*100.0+300)
}

// With a quota far below the load, urgent requests are admitted first, others
// get the rest, and very cheap ones pass in spite of the reserve.
func TestUrgentRequestsComeFirst(t *testing.T) {
	th := throttler.New(throttler.Config{Start: start, PeerTimeout: time.Second, MaxDebt: 100})
	limit := throttler.Limit{Rate: 1000, Burst: 1000}
	passed := map[float64]int{}
	now := start
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		for _, request := range []throttler.Request{{Cost: 40, Reserve: 0.5}, {Cost: 0.1, Reserve: 0.5}, {Cost: 8}} {
			if ok, _ := th.Allow(now, org, limit, request); ok {
				passed[request.Cost]++
			}
		}
	}
	require.Equal(t, 2000, passed[8], "urgent")
	require.Equal(t, 2000, passed[0.1], "cheap")
	require.InDelta(t, 100, passed[40], 20, "of the 120 that the rest of the quota holds")
}

func TestRefundAndNoLimit(t *testing.T) {
	th := throttler.New(throttler.Config{Start: start, PeerTimeout: time.Second})
	ok, _ := th.Allow(start, org, throttler.Limit{}, throttler.Request{Cost: 1e9})
	require.True(t, ok)
	limit := throttler.Limit{Rate: 100, Burst: 100}
	_, _ = th.Allow(start, org, limit, throttler.Request{Cost: 100})
	ok, _ = th.Allow(start.Add(time.Second), org, limit, throttler.Request{Cost: 100})
	require.True(t, ok)
	th.Refund(org, 100)
	ok, _ = th.Allow(start.Add(time.Second), org, limit, throttler.Request{Cost: 100})
	require.True(t, ok)
	require.InDelta(t, 100, th.LocalSpending()[org], 0)
}

// Retries of refused requests are spread over the time in which the quota admits
// them all, up to two seconds, so that they do not arrive at once and fail again.
func TestRetriesAreSpreadOverTheQuota(t *testing.T) {
	th := throttler.New(throttler.Config{Start: start, PeerTimeout: time.Second})
	limit := throttler.Limit{Rate: 100, Burst: 100}
	require.Zero(t, th.RetrySpread(start, org, limit))
	refuse := func(n int) {
		for range n {
			ok, _ := th.Allow(start, org, limit, throttler.Request{Cost: 10})
			require.False(t, ok)
		}
	}
	refuse(2)
	require.Equal(t, 200*time.Millisecond, th.RetrySpread(start, org, limit))
	refuse(8)
	require.Equal(t, time.Second, th.RetrySpread(start, org, limit))
	refuse(1000)
	require.Equal(t, 2*time.Second, th.RetrySpread(start, org, limit))
	require.Less(t, th.RetrySpread(start.Add(20*time.Second), org, limit), time.Millisecond)
}

// A failure domain with a third of the callers is cut off for six seconds, while an
// organisation needs a fifth less than its quota. What the other side has spent of its own
// part of the quota must not be charged again to the part of this side: no request is
// refused once the sides reach each other.
func TestNothingWithinTheQuotaIsRefusedAfterACut(t *testing.T) {
	const (
		rate    = 100_000.0
		entries = 6
		cost    = 400.0
		tick    = 20 * time.Millisecond
	)
	for _, cutOff := range []int{1, 2, 3} {
		g := newGroup(start, entries)
		now := start
		cutStart, cutEnd := start.Add(5*time.Second), start.Add(11*time.Second)
		refused := 0
		for now.Before(start.Add(16 * time.Second)) {
			now = now.Add(tick)
			cut := now.After(cutStart) && now.Before(cutEnd)
			if now.Sub(start)%(200*time.Millisecond) == 0 {
				g.exchange(now, func(from, to int) bool { return !cut || (from < cutOff) == (to < cutOff) })
			}
			if now.Sub(start) < 2*time.Second {
				continue
			}
			perEntry := 0.8 * rate * tick.Seconds() / entries / cost
			for i, th := range g.entries {
				count := int(perEntry*float64(now.Sub(start)/tick)+float64(i)/entries) - int(perEntry*float64(now.Sub(start)/tick-1)+float64(i)/entries)
				for range count {
					if ok, _ := th.Allow(now, org, throttler.Limit{Rate: rate, Burst: rate}, throttler.Request{Cost: cost}); !ok && now.After(cutEnd) {
						refused++
					}
				}
			}
		}
		require.Zero(t, refused, "%d of %d entries were cut off", cutOff, entries)
	}
}
