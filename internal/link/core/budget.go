package core

import "time"

// Budget limits the rate of bytes sent over links between regions. All links of
// a process share one.
type Budget interface {
	// Take charges n bytes of a priority and returns 0, or charges nothing and
	// returns how long to wait before trying again.
	Take(now time.Time, p Priority, n int) (wait time.Duration)
}
