// Package clock tells a VM's own time.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the VM booted, as a time.Time that is only
// compared with others of this function. Unlike the clock behind time.Now it
// goes on while the VM is suspended, and unlike the time of day it never
// jumps: what it says of the age of evidence holds after any pause.
func Boot() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The kernel knows the clock since 2.6.39.
		panic("clock: no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(t.Sec, t.Nsec)
}
