// Package waiter provides a sleep that a context can end.
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
