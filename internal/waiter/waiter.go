// Package waiter provides a sleep that a context can end, and contexts that end by
// another clock than that of timers.
//
//	for waiter.Pause(ctx, time.Second) {
//		// once a second until ctx is done
//	}
package waiter

import (
	"context"
	"time"
)

// Pause waits for d and returns true, or returns false as soon as ctx is done.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// clockCheckInterval is the time between two looks at the clock of WithDeadline.
const clockCheckInterval = 50 * time.Millisecond

// WithDeadline returns a context that ends at a time of the clock now. Timers stand still
// while the machine is suspended; if the clock goes on then, the context ends up to
// clockCheckInterval after the process runs again. The clock is not read after the
// function that cancels the context has returned.
func WithDeadline(ctx context.Context, now func() time.Time, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(now()))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for Pause(ctx, clockCheckInterval) {
			if !now().Before(deadline) {
				cancel()
			}
		}
	}()
	return ctx, func() {
		cancel()
		<-ended
	}
}
