package confidence

import (
	"cmp"
	"slices"
	"time"
)

// result is the result of one check.
type result struct {
	sentAt   time.Duration
	answered bool
}

// window holds the results of the checks of the last spanOfMost, oldest first.
type window []result

// add records a result.
func (w window) add(now time.Duration, r result) window {
	at, _ := slices.BinarySearchFunc(w, r, func(a, b result) int { return cmp.Compare(a.sentAt, b.sentAt) })
	out := slices.Insert(slices.Clone(w), at, r)
	return slices.DeleteFunc(out, func(r result) bool { return now-r.sentAt > spanOfMost })
}

// silent reports whether the owner does not answer: none of the checks of spanOfAll, or few of those
// of spanOfMost.
func (w window) silent(now time.Duration) bool {
	return w.noneSince(now) || w.fewOfMost(now) && w.latest(true) < minOfAll
}

// latest returns how many of the latest checks in a row were answered, or were not.
func (w window) latest(answered bool) int {
	n := 0
	for n < len(w) && w[len(w)-1-n].answered == answered {
		n++
	}
	return n
}

// noneSince reports whether the latest checks have gone unanswered for spanOfAll.
func (w window) noneSince(now time.Duration) bool {
	n := w.latest(false)
	return n >= minOfAll && now-w[len(w)-n].sentAt >= spanOfAll
}

// fewOfMost reports whether more than half of the checks of spanOfMost have gone unanswered.
func (w window) fewOfMost(now time.Duration) bool {
	unanswered := 0
	for _, r := range w {
		if !r.answered {
			unanswered++
		}
	}
	return len(w) >= minOfMost && now-w[0].sentAt >= spanOfMost-checkInterval && 2*unanswered > len(w)
}
