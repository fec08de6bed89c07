package contact

import "time"

const (
	// first is the window of a new owner; a machine of 0.2 cores takes about 0.2 s
	// for its answers.
	first = 128
	// least and most bound the window. The most is what one owner's connections
	// to workers may add to its open files at a time.
	least = 16
	most  = 1024
	// prompt is the age of an answer that shows no queue: two round trips between
	// regions, of 40 ms each, and the worker's own time.
	prompt = 120 * time.Millisecond
)

// Window is the number of workers that may be asked at once.
type Window struct{ size int }

// New gives the window of a new owner.
func New() Window { return Window{size: first} }

// Size gives the present bound.
func (w *Window) Size() int { return w.size }

// Answered takes in that a worker answered after a time.
func (w *Window) Answered(after time.Duration) {
	if after <= prompt {
		w.size = min(w.size+1, most)
		return
	}
	w.size = max(w.size-1, least)
}
