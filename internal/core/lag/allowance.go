package lag

import "time"

const (
	// wakeUps is how often the goroutines of a call wait for the processor until its answer has
	// been acted on: to dial or to write, to read the head, to read the body, and for the caller.
	wakeUps = 4
	// dialWakeUps is the same for a connection that is opened.
	dialWakeUps = 1
	// maxAllowance bounds the time that a process allows for its own lag. It is shorter than a
	// lease of 6 s without the wait of a hold, so that a worker that is gone is noticed within one.
	maxAllowance = 1500 * time.Millisecond
)

// Allowance returns how much longer than usual the answer to a call takes if the process runs late.
func Allowance(late time.Duration) time.Duration { return min(wakeUps*max(0, late), maxAllowance) }

// DialAllowance is Allowance for the opening of a connection.
func DialAllowance(late time.Duration) time.Duration {
	return min(dialWakeUps*max(0, late), maxAllowance/wakeUps)
}

// Explains reports whether the lag of this process may be the reason that a call was not answered
// within a limit, so that the call says nothing about whoever was called.
func Explains(limit, late time.Duration) bool { return wakeUps*late >= limit }
