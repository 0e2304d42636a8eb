package rationer_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/rationer"
)

// Users that take and return shares at the same time never hold more than the budget, and
// leave all of it.
func TestSharesStayWithinTheBudget(t *testing.T) {
	const limit, users = 1000, 16
	budget := rationer.New(limit)
	var wg sync.WaitGroup
	for range users {
		wg.Go(func() {
			for range 1000 {
				r := budget.Ration()
				for r.Grow(limit / 4) {
				}
				r.Release()
			}
		})
	}
	wg.Wait()
	require.EqualValues(t, limit, budget.Left())
	r := budget.Ration()
	require.True(t, r.Grow(limit))
	require.False(t, budget.Ration().Grow(1))
	share := r.Share()
	r.Trim(limit - 1)
	require.True(t, budget.Ration().Grow(1))
	share.Retain()
	share.Release()
	require.False(t, budget.Ration().Grow(1), "one user is left")
	share.Release()
	require.True(t, budget.Ration().Grow(1))
}
