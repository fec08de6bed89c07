// Package startwindow limits how many starts of tasks an owner has without an answer.
//
// Load pattern: more starts are due than the owner's processor can order. Ordered all at once, each
// waits behind all others: answers are read late, orders are made again, and the members of a gang start
// seconds apart. The window follows the time that answers take, so that what is ordered is what can be
// sent now, and the rest waits in the order of its urgency.
package startwindow

import (
	"time"

	"coltsfootmux/internal/core/lag"
)

const (
	// minSize lets an owner make progress however late it runs.
	minSize = 8
	// promptAnswerTime is the longest time of an answer that has not waited for the processor.
	promptAnswerTime = 250 * time.Millisecond
	// increase is by how much the window grows in the time of one answer.
	increase = 4
	// decrease is the factor of the window after a late answer.
	decrease = 0.7
)

// Window limits the starts without an answer. It grows while answers are prompt, and shrinks by a
// factor for a late one, once for all starts that were in progress together.
type Window struct {
	size float64
	// shrunkAt is when the window last shrank.
	shrunkAt time.Duration
}

// Size returns the present limit, at most the given one.
func (w *Window) Size(most int) int {
	if w.size == 0 {
		return most
	}
	return min(max(int(w.size), minSize), most)
}

// Answered adjusts the window, whose limit is at most the given one, after the answer to a start that
// was ordered at a time, by a process that runs late by so much. A late answer to a process in time has waited
// for its worker, and fewer starts would not bring it sooner.
func (w *Window) Answered(now, orderedAt, late time.Duration, most int) {
	if w.size == 0 {
		w.size = float64(most)
	}
	switch {
	case now-orderedAt <= promptAnswerTime || !lag.IsShort(late):
		w.size = min(w.size+increase/w.size, float64(most))
	case orderedAt >= w.shrunkAt:
		w.size = max(w.size*decrease, minSize)
		w.shrunkAt = now
	}
}
