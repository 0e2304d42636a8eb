package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/follower"
	"github.com/galenahitch/galenahitch/internal/provider"
)

// takeRetries charges retries until the budget refuses one and returns their number.
func takeRetries(g *Gateway) int {
	taken := 0
	for g.chargeRetry("r", "model") {
		taken++
	}
	return taken
}

// readEntries makes the gateway read a table of entries that lists the other ones.
func readEntries(t *testing.T, g *Gateway, others ...string) {
	t.Helper()
	page := provider.Page{Version: 1}
	for i, id := range others {
		page.Rows = append(page.Rows, provider.StoreRow{Key: id, Value: []byte(`{"address":"127.0.0.1:1","boot":1}`), Version: provider.Version(i + 1)})
	}
	readTable(t, &g.entryFollower, g, follower.Config{Table: "entries", Apply: g.applyMemberRows}, page)
}

// All entries restart in a window in which they use all retries that they may. A
// started entry took itself for the only one and used the allowance of all of them.
func TestRetryBudgetHoldsOverRestarts(t *testing.T) {
	others := []string{"f1", "f2", "f3", "f4", "f5"}
	allowance := 0
	total := 0
	for range 1 + len(others) {
		old, c := newGateway(t, nil)
		allowance = int(old.cfg.Quotas.RetryAllowance)
		require.Zero(t, takeRetries(old), "it does not know the other entries yet")
		readEntries(t, old, others...)
		taken := takeRetries(old)
		require.Positive(t, taken)
		total += taken
		c.advance(time.Second)
		// Some entries have stopped, and their retries still count.
		old.removePeer(c.now, others[0], "its row was deleted")
		total += takeRetries(old)
		restarted, _ := newGateway(t, nil)
		total += takeRetries(restarted)
		readEntries(t, restarted, others...)
		total += takeRetries(restarted)
	}
	require.LessOrEqual(t, total, allowance)
}

// Two halves of the entries are cut off from each other until each has removed the
// other. The retries of both together must stay within the allowance.
func TestRetryBudgetHoldsOverCuts(t *testing.T) {
	total, allowance := 0, 0
	for range 6 {
		g, c := newGateway(t, nil)
		allowance = int(g.cfg.Quotas.RetryAllowance)
		readEntries(t, g, "f1", "f2", "f3", "f4", "f5")
		for _, id := range []string{"f3", "f4", "f5"} {
			g.removePeer(c.now, id, "silent")
		}
		c.advance(2 * g.cfg.Quotas.RetryWindow)
		total += takeRetries(g)
	}
	require.Positive(t, total)
	require.LessOrEqual(t, total, allowance)
}
