package lag

import "time"

const (
	// holdPauseFactor multiplies the lag to give the pause before the next hold of a worker.
	holdPauseFactor = 2
	// maxHoldPause bounds that pause. With the wait of a hold it is under half of a lease.
	maxHoldPause = time.Second
)

// HoldPause returns how long an owner waits after a worker's answer before it sends the next hold.
//
// Load pattern: runs end every few milliseconds, and each end answers a hold, so that holds take most of
// the processor time. After a pause one answer brings several ends.
func HoldPause(late time.Duration) time.Duration {
	if !IsShort(late) {
		return 0
	}
	return min(holdPauseFactor*late, maxHoldPause)
}
