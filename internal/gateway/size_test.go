package gateway

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/pkg/accountant"
	"github.com/galenahitch/galenahitch/pkg/isolator"
)

// A message of an entry that uses 22 upstreams for 5 organisations and has many crash records fits one
// Ethernet frame.
func TestMessageFitsOneFrame(t *testing.T) {
	const frame = 1400
	n := peerMessage{ID: "front-varna-a-1", Boot: 1, Address: "10.100.200.111:7600", Domain: "varna-a", Totals: map[string]float64{}, Usage: map[accountant.Window]accountant.Counts{}, Load: map[uint32]uint32{}, Demand: map[string]demand{}}
	for i := range 22 {
		n.Load[upstreamKey(fmt.Sprintf("i-%010x.mmud2t75", i))] = 5
	}
	for i := range 5 {
		n.Totals[spentPrefix+fmt.Sprintf("kale63%d", i)] = 1e6 + 0.5
	}
	for w := range 3 {
		counts := accountant.Counts{}
		for i := range 5 {
			counts[fmt.Sprintf("kale63%d", i)] = 412
		}
		n.Usage[accountant.Window(353445120+w)] = counts
	}
	for i := range 2 {
		n.Demand[fmt.Sprintf("huvo11%d", i)] = demand{RequestRate: 1.5, PromptTokenRate: 1.5, PrefillSpeed: 1.5, Running: 3}
	}
	for i := range maxSentRecords {
		n.CrashRecords = append(n.CrashRecords, isolator.CrashRecord{
			Fingerprint: isolator.Fingerprint(i) + 1<<63, Upstream: fmt.Sprintf("i-%010x.mmud2t75", i), AgeMS: 4000, RanMS: 900, DeploymentSize: 18,
		})
	}
	encoded, err := cbor.Marshal(n)
	require.NoError(t, err)
	t.Logf("%d bytes", len(encoded))
	require.LessOrEqual(t, len(encoded), frame)
}
