package cell

import (
	"time"

	"coltsfootmux/internal/external"
)

// History is what happened to a job's runs under this owner, for the log.
type History struct {
	// Waited is the longest that one of its units waited for its place.
	Waited time.Duration
	// Displaced counts the runs stopped for more urgent work, Moved those taken off
	// slow, stalled or leaving workers, Failed those that failed, Lost those whose
	// worker was lost or whose gang another member left.
	Displaced int
	Moved     int
	Failed    int
	Lost      int
}

func (h *History) stopped(why Reason) {
	switch why {
	case ReasonPreempted:
		h.Displaced++
	case ReasonSlow, ReasonStalled, ReasonDrain:
		h.Moved++
	}
}

func (h *History) ended(how external.EndReason) {
	switch how {
	case external.EndedFailed:
		h.Failed++
	case external.EndedLeaseExpired, external.EndedGangBroken, external.EndedGangIncomplete, EndedLost:
		h.Lost++
	}
}
