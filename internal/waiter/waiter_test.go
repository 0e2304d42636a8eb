package waiter_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenahitch/galenahitch/internal/waiter"
)

// A call that was under way when the machine was suspended went on afterwards for as long as
// its timer had left.
func TestDeadlineOfAClockThatGoesOn(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	var elapsed atomic.Int64
	ctx, cancel := waiter.WithDeadline(context.Background(), func() time.Time { return start.Add(time.Duration(elapsed.Load())) }, start.Add(time.Hour))
	defer cancel()
	require.NoError(t, ctx.Err())
	elapsed.Store(int64(time.Hour))
	<-ctx.Done()
	require.ErrorIs(t, ctx.Err(), context.Canceled)
}
