package core

import "time"

// Budget limits the bytes on the links between regions. It is shared by all
// links of a host.
type Budget interface {
	// Take charges n bytes of a lane, or says how long to wait first.
	Take(now time.Time, lane Priority, n int) (wait time.Duration)
}
