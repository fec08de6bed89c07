package displace

import (
	"time"

	"coltsfootmux/internal/job"
)

const (
	// minGangWait is how long a gang waits before it may displace runs. In a pool that is
	// not full, room becomes free within this time.
	minGangWait = 1500 * time.Millisecond
	// gangTimesLeft determines when a gang may begin to displace runs: when no more than this
	// multiple of its estimated run time is left until its objective.
	gangTimesLeft = 2
	// runTimesLeft determines which runs can be started again in time: those whose jobs have
	// more than this multiple of the run's estimated time left until their objective.
	runTimesLeft = 2
	// maxLossShare is the largest amount of unsaved work that a gang may destroy by
	// displacing runs, as a share of the gang's own work.
	maxLossShare = 0.25
)

// Gang is a gang that waits until there is room for all its tasks at once.
type Gang struct {
	Waited time.Duration
	// TimeLeft is the time until its job's objective, negative after it.
	TimeLeft time.Duration
	// Estimate is the caller's estimate of its run time.
	Estimate time.Duration
	// CoreSeconds is its whole work.
	CoreSeconds float64
}

// MayDisplace reports whether the gang may look for runs to displace.
func (g Gang) MayDisplace() bool {
	return g.Waited >= minGangWait && g.TimeLeft <= gangTimesLeft*g.Estimate
}

// JustifiesLoss reports whether the gang may destroy the given amount of unsaved work,
// in core-seconds.
func (g Gang) JustifiesLoss(unsaved float64) bool { return unsaved <= maxLossShare*g.CoreSeconds }

// Run is a run that might be displaced.
type Run struct {
	// TimeLeft is the time until the job's objective, negative after it.
	TimeLeft  time.Duration
	Objective time.Duration
	Estimate  time.Duration
}

// HasSlack reports whether the run can be stopped without loss to its caller: either
// there is time to start it again, or its completion is of no use any more.
func (r Run) HasSlack() bool {
	return r.TimeLeft > runTimesLeft*r.Estimate || r.TimeLeft < -(job.StaleFactor-1)*r.Objective
}
