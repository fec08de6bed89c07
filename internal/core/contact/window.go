package contact

import "time"

const (
	// minSize and maxSize bound the window, which begins at its minimum. A machine of 0.2 cores
	// takes about 0.2 s to process that many answers. When answers wait longer, it is for other
	// work of the process, which a smaller window would not reduce. The maximum limits the open
	// files that the owner's connections to workers add at one time.
	minSize = 128
	maxSize = 1024
	// promptAnswerTime is the longest time of an answer that has not waited in a queue: two
	// round trips between regions, of 40 ms each, and the worker's own time.
	promptAnswerTime = 120 * time.Millisecond
)

// Window limits the number of workers that are asked at once.
type Window struct{ size int }

// New returns the window of a new owner.
func New() Window { return Window{size: minSize} }

// Size returns the present limit.
func (w *Window) Size() int { return w.size }

// Answered adjusts the window after an answer that took the given time.
func (w *Window) Answered(took time.Duration) {
	if took <= promptAnswerTime {
		w.size = min(w.size+1, maxSize)
		return
	}
	w.size = max(w.size-1, minSize)
}
