// Package timekeeper reads a steady clock that goes on while the machine is suspended.
//
// Go's monotonic clock stands still then, so a time limit that other machines rely on,
// such as that of a lease, may not be counted on it.
//
//	held := timekeeper.Now().Add(lifetime)
//	if timekeeper.Now().Before(held) { /* act */ }
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since an arbitrary moment, which is the same for all processes
// of a machine until it boots. It is not affected by changes of the time of day and is
// not comparable with times of other clocks. If the clock can't be read, it returns the
// time of day without a monotonic reading.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Now().Round(0)
	}
	return time.Unix(now.Unix())
}
