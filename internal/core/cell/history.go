package cell

import (
	"time"

	"coltsfootmux/internal/external"
)

// History is what happened to a job's runs under this owner, for the log.
type History struct {
	// MaxWait is the longest that one of its units waited for its place.
	MaxWait time.Duration
	// Preempted counts the runs stopped for more urgent work, Moved those taken off
	// slow, stalled or leaving workers, Failed those that failed, Lost those whose
	// worker was lost or whose gang another member left.
	Preempted int
	Moved     int
	Failed    int
	Lost      int
}

func (h *History) countStop(why StopReason) {
	switch why {
	case ReasonPreempted:
		h.Preempted++
	case ReasonSlow, ReasonStalled, ReasonDraining:
		h.Moved++
	}
}

func (h *History) countEnd(how external.How) {
	switch how {
	case external.EndedFailed:
		h.Failed++
	case external.EndedLapsed, external.EndedBroken, external.EndedAlone, EndedLost:
		h.Lost++
	}
}
