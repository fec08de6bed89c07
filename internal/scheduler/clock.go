package scheduler

import "time"

// now reads the process's clock, with its monotonic part.
func now() time.Time { return time.Now() }
