package cell

import (
	"time"

	"coltsfootmux/internal/external"
)

// History summarizes what happened to a job's runs in this term, for the log.
type History struct {
	// MaxWait is the longest time that one of its units waited to be placed.
	MaxWait time.Duration
	// Preempted counts the runs that were stopped to make room for other work, Moved
	// those that were stopped because they were slow or stalled or because their
	// worker was draining, Failed those that failed, and Lost those that ended because
	// their worker was lost or another member of their gang ended.
	Preempted int
	Moved     int
	Failed    int
	Lost      int
	// Crashed counts the crashes of workers that were counted against the job's tasks.
	Crashed int
}

func (h *History) countStop(reason StopReason) {
	switch reason {
	case ReasonPreempted:
		h.Preempted++
	case ReasonSlow, ReasonStalled, ReasonDraining:
		h.Moved++
	}
}

func (h *History) countEnd(reason external.EndReason) {
	switch reason {
	case external.EndedFailed:
		h.Failed++
	case external.EndedLeaseExpired, external.EndedGangBroken, external.EndedGangIncomplete, EndedLost:
		h.Lost++
	}
}
