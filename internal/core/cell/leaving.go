package cell

import "time"

const (
	// departureWindow is the longest time between the last answer of a worker that
	// leaves and the removal of its entry: a hold is answered every 1.8 s. The entry of
	// a worker that is cut off expires after three missed heartbeats, 4.5 s, while its
	// lease may still be valid.
	departureWindow = 2500 * time.Millisecond
)

// hasLeft reports whether a worker is certainly gone: it announced that it would
// leave, its entry was removed, and it does not answer.
func (w *worker) hasLeft() bool {
	if !w.Draining || w.listed || w.holdFailures == 0 || !w.knowsTerm {
		return false
	}
	return w.unlistedAt-w.lastAnswerAt <= departureWindow
}

// markUnlisted records that the list does not contain the worker.
func (w *worker) markUnlisted(now time.Duration) { w.listed, w.unlistedAt = false, now }
