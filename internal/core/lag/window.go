package lag

import "time"

// otherWindowShare divides the window of starts without an answer to give the part of it that work
// which is not urgent may use, while the process is short of time.
const otherWindowShare = 4

// StartWindow returns how many starts may be without an answer for one more to be ordered, of work that
// goes first or of other work.
//
// Load pattern: a process short of time orders wide steps that can wait, and the starts of urgent jobs
// stand in line with them for the processor.
func StartWindow(normal int, late time.Duration, first bool) int {
	if first || !IsShort(late) {
		return normal
	}
	return max(1, normal/otherWindowShare)
}
