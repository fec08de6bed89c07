package instance

import (
	"time"

	"golang.org/x/sys/unix"

	"coltsfootmux/internal/core/cell"
)

// boottime reads the clock that runs on while the machine is suspended, so that a
// resumed process sees how much of its leases has passed.
func boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock; without it no lease can be kept.
		panic("boot time clock is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

func instant() cell.Instant {
	return cell.Instant{Mono: boottime(), UnixMS: time.Now().UnixMilli()}
}
