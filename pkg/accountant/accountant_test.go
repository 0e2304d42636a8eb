package accountant_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/accountant"
)

func newAccountant(self string) *accountant.Accountant {
	return accountant.New(accountant.Config{Self: self, Window: 5 * time.Second, MaxWindows: 4})
}

// Three processes send each other their counts in any order, with losses and
// repeats. One of them fails after it has sent its counts. The total must still be
// the number of requests that started.
func TestTotalsSurviveLossRepeatsAndCrash(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	at := time.UnixMilli(5_000_000)
	a, b, failed := newAccountant("a/1"), newAccountant("b/1"), newAccountant("dead/1")
	var received []map[accountant.Window]accountant.Counts
	for range 50 {
		failed.CountStart(at, "luna")
		received = append(received, failed.LocalCounts(a.WindowAt(at)))
		b.CountStart(at, "sol")
	}
	random.Shuffle(len(received), func(i, j int) { received[i], received[j] = received[j], received[i] })
	for _, counts := range received {
		a.Merge("dead/1", counts)
	}
	a.Merge("b/1", b.LocalCounts(0))
	a.Merge("b/1", b.LocalCounts(0))
	for range 7 {
		a.CountStart(at, "luna")
	}
	a.Merge("a/1", map[accountant.Window]accountant.Counts{a.WindowAt(at): {"luna": 999}})
	require.Equal(t, accountant.Counts{"luna": 57, "sol": 50}, a.Total(a.WindowAt(at)))
}

func TestWindowsOfTheWallClock(t *testing.T) {
	a := newAccountant("a/1")
	require.Equal(t, accountant.Window(1), a.WindowAt(time.UnixMilli(9_999)))
	require.Equal(t, accountant.Window(2), a.WindowAt(time.UnixMilli(10_000)))
	require.Equal(t, time.UnixMilli(10_000), a.WindowEnd(1).UTC().Local())
	for w := range 10 {
		a.CountStart(time.UnixMilli(int64(w)*5_000), "luna")
	}
	require.Empty(t, a.Total(5))
	require.Equal(t, accountant.Counts{"luna": 1}, a.Total(6))
}
