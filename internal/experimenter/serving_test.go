package experimenter

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }

// Many entries hear of each other's load some messages late. The least loaded of
// all engines is the same for all of them, and gets all of their requests; the
// least of a few drawn at random is not.
func TestManyEntriesDoNotHerd(t *testing.T) {
	fleet := servingFleet{engines: 30, slots: 12, entries: 30, cacheTokens: 395_000}
	for seed := range uint64(2) {
		least := simulateServing(seed, fleet, 0.35, placement{usePrefixes: true})
		drawn := simulateServing(seed, fleet, 0.35, placement{usePrefixes: true, choices: 3})
		require.Greater(t, drawn.requests, 1500)
		require.Less(t, 3*drawn.late, least.late, "seed %d", seed)
		require.LessOrEqual(t, drawn.rereadTokens, least.rereadTokens)
	}
}

// Few entries lose nothing by it.
func TestFewEntriesAreServedAsWell(t *testing.T) {
	fleet := servingFleet{engines: 16, slots: 32, entries: 9, cacheTokens: 550_000}
	least, drawn := 0, 0
	for seed := range uint64(2) {
		least += simulateServing(seed, fleet, 0.6, placement{usePrefixes: true}).late
		drawn += simulateServing(seed, fleet, 0.6, placement{usePrefixes: true, choices: 3}).late
	}
	require.LessOrEqual(t, drawn, least+least/10)
}
