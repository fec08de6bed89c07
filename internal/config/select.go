package config

import (
	"time"

	"coltsfootmux/internal/model"
)

// rankCount is the number of ranks, by what an exception selects: nothing, a
// kind, an account, or both.
const rankCount = 4

// rank orders exceptions on limits from the least to the most specific.
func (e *Exception) rank() int {
	n := 0
	if e.Kind != "" {
		n++
	}
	if e.Account != "" {
		n += 2
	}
	return n
}

// selects reports whether an exception on limits applies to an account's work of a kind.
func (e *Exception) selects(account model.Account, kind model.Kind) bool {
	if e.Account != "" && e.Account != account || e.Kind != "" && e.Kind != kind {
		return false
	}
	return e.overridesLimits() && e.placeSelectors() == 0
}

// ActiveAt reports whether the exception has not expired at a time.
func (e *Exception) ActiveAt(now time.Time) bool {
	return e.Expires.IsZero() || now.Before(e.Expires)
}
