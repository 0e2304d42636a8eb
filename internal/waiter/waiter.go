// Package waiter waits in a way that can be ended.
//
//	for waiter.Pause(ctx, time.Second) {
//		// until ctx ends
//	}
package waiter

import (
	"context"
	"time"
)

// Pause waits for d. It returns false as soon as ctx has ended.
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
