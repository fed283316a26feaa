// Package clock provides a VM's clock that advances during suspension and is never
// set.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM booted, as a time.Time that must only be
// compared with other results of SinceBoot. Unlike Go's monotonic clock it advances
// while the VM is suspended, and unlike the wall clock it is never set. An age
// computed from two results is therefore right even if the VM was suspended between
// them.
func SinceBoot() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39.
		panic("clock: no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(t.Sec, t.Nsec)
}
