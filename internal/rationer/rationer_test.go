package rationer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

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
	shared := r.Shared()
	r.Trim(limit - 1)
	require.True(t, budget.Ration().Grow(1))
	shared.Retain()
	shared.Release()
	require.False(t, budget.Ration().Grow(1), "one user is left")
	shared.Release()
	require.True(t, budget.Ration().Grow(1))
}

// A user that asked for more than the whole budget waited in vain, and others behind it.
func TestMoreThanTheBudgetIsRefusedAtOnce(t *testing.T) {
	budget := rationer.New(100)
	first := budget.Ration()
	require.True(t, first.Grow(1))
	require.False(t, budget.Ration().GrowWithin(t.Context(), 101))
	require.True(t, budget.Ration().Grow(1))
}

// A user that asked for much was passed over by users that asked for little later.
func TestWaitingUsersAreServedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 100
		budget := rationer.New(limit)
		first := budget.Ration()
		require.True(t, first.Grow(limit))
		order := make(chan int, 3)
		for i, bytes := range []int{limit, 1, 1} {
			go func() {
				r := budget.Ration()
				require.True(t, r.GrowWithin(t.Context(), bytes))
				order <- i
				r.Release()
			}()
			synctest.Wait()
		}
		require.False(t, budget.Ration().Grow(0), "others wait")
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.False(t, budget.Ration().GrowWithin(short, 1))
		first.Release()
		synctest.Wait()
		require.Zero(t, <-order)
		require.Len(t, order, 2)
		require.EqualValues(t, limit, budget.Left())
	})
}
