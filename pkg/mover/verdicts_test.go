package mover_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/mover"
)

// Orders for versions in any sequence, of which each of several entries sees a part, and
// messages between them that are lost, late and repeated. In the end all entries withdraw
// the same versions: those whose latest order was rolled back.
func TestVerdictsOfHistories(t *testing.T) {
	const histories, entries, orders = 1000, 5, 8
	for seed := range uint64(histories) {
		random := rand.New(rand.NewPCG(seed, 5))
		verdicts := make([]*mover.Verdicts, entries)
		for i := range verdicts {
			verdicts[i] = mover.NewVerdicts(map[string]bool{"v0": true, "v1": true, "v2": true, "v3": true})
		}
		send := func(from, to int) {
			for version, verdict := range verdicts[from].Except("") {
				verdicts[to].Merge(version, verdict)
			}
		}
		last := map[string]mover.Verdict{}
		for epoch := uint64(1); epoch <= orders; epoch++ {
			version := "v" + strconv.Itoa(random.IntN(4))
			end := mover.Verdict{Epoch: epoch, RolledBack: random.IntN(2) == 0}
			end.Done = !end.RolledBack
			last[version] = end
			// The order and its end reach one entry at least.
			for i := range entries {
				if i == 0 || random.IntN(3) > 0 {
					verdicts[i].Join(version, mover.Verdict{Epoch: epoch})
				}
			}
			verdicts[random.IntN(entries)].Join(version, end)
			for range random.IntN(6) {
				send(random.IntN(entries), random.IntN(entries))
			}
		}
		for range 2 {
			for i := range entries {
				send(i, (i+1)%entries)
			}
		}
		for i := range verdicts {
			withdrawn := verdicts[i].Withdrawn()
			require.IsIncreasing(t, append([]string{""}, withdrawn...))
			for version, verdict := range last {
				require.Equal(t, verdict.RolledBack, slices.Contains(withdrawn, version), "history %d, entry %d, version %s", seed, i, version)
			}
		}
	}
}

// A version whose upstreams are listed stays withdrawn, however long they drain.
func TestVerdictsAreKeptWhileTheVersionIsListed(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	v := mover.NewVerdicts(nil)
	v.Join("v2", mover.Verdict{Epoch: 1, RolledBack: true})
	for range 10 {
		now = now.Add(mover.VerdictTTL)
		v.Retain(now, map[string]bool{"v2": true})
	}
	require.Equal(t, []string{"v2"}, v.Withdrawn())
	v.Retain(now.Add(mover.VerdictTTL), nil)
	require.Equal(t, []string{"v2"}, v.Withdrawn())
	v.Retain(now.Add(mover.VerdictTTL+1), nil)
	require.Empty(t, v.Withdrawn())
}
