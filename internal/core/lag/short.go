package lag

import "time"

// shortOfTime is the lag from which on a process has less processor time than its work takes.
const shortOfTime = 100 * time.Millisecond

// IsShort reports whether a process that runs late by so much is short of processor time, so that it
// leaves out what it can do without.
func IsShort(late time.Duration) bool { return late >= shortOfTime }
