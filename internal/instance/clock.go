package instance

import (
	"time"

	"golang.org/x/sys/unix"

	"coltsfootmux/internal/core/cell"
)

// boottime reads the clock that goes on while the machine is suspended, so that
// a woken process sees how long its leases have been running.
func boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock; without it no lease can be kept.
		panic("no boot time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

func instant() cell.Instant {
	return cell.Instant{Mono: boottime(), UnixMS: time.Now().UnixMilli()}
}
