package platform

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the VM's boot. Unlike the monotonic clock it
// includes the time for which the VM was suspended, so limits that other processes
// count on are measured by it.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
