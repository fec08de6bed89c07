package cell

import "time"

const (
	// departureWindow is how long before its entry is taken away a worker that leaves was
	// heard: a hold is answered every 1.8 s. The entry of a silent worker lapses after
	// three of its heartbeats, 4.5 s, while its lease may still hold.
	departureWindow = 2500 * time.Millisecond
	// relistTimeout is how soon entries are back that lapsed with the store, about 2 s,
	// and the time to read them. Those that are missing then belong to workers that
	// are gone.
	relistTimeout = 2500 * time.Millisecond
)

// hasLeft says whether a worker is gone for certain: it said that it would leave,
// its entry was taken away, and it is silent.
func (w *worker) hasLeft(now time.Duration) bool {
	if !w.Draining || w.listed || w.holdFailures == 0 {
		return false
	}
	if w.knowsTerm {
		return w.unlistedAt-w.lastAnswerAt <= departureWindow
	}
	return now-w.unlistedAt >= relistTimeout
}

// markUnlisted notes that the list does not name the worker.
func (w *worker) markUnlisted(now time.Duration) { w.listed, w.unlistedAt = false, now }
