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
// not comparable with times of other clocks. Every Linux kernel since 2.6.39 has the clock;
// Now panics if it can't be read, as no other clock can stand in for it.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("timekeeper: read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(now.Unix())
}
