package displace

import (
	"time"

	"coltsfootmux/internal/job"
)

const (
	// patience is how long a gang waits before it displaces anything: gaps in a pool
	// that is not full open within it.
	patience = 1500 * time.Millisecond
	// lastCall is how many of a gang's estimated run times may be left until its
	// objective when it begins to displace.
	lastCall = 2
	// spare is how many of its estimated run times a run's job must have left.
	spare = 2
	// mostLost is the part of the gang's own work that the unsaved work of all runs
	// that it displaces may be.
	mostLost = 0.25
)

// Gang is work that waits for room for all its tasks at once.
type Gang struct {
	Waited time.Duration
	// TimeLeft is the time until its job's objective, negative after it.
	TimeLeft time.Duration
	// Estimate is the run time that its caller expects.
	Estimate time.Duration
	// CoreSeconds is its whole work in core-seconds.
	CoreSeconds float64
}

// MayDisplace says whether the gang may look for runs to displace.
func (g Gang) MayDisplace() bool { return g.Waited >= patience && g.TimeLeft <= lastCall*g.Estimate }

// JustifiesLoss says whether the gang may have its room for so much unsaved work, in
// core-seconds.
func (g Gang) JustifiesLoss(unsaved float64) bool { return unsaved <= mostLost*g.CoreSeconds }

// Run is what a run's job can spare.
type Run struct {
	// TimeLeft is the time until the job's objective, negative after it.
	TimeLeft  time.Duration
	Objective time.Duration
	Estimate  time.Duration
}

// HasSlack says whether the run can be stopped without loss to its caller: there is
// the time to start it again, or its completion is of no more use.
func (r Run) HasSlack() bool {
	return r.TimeLeft > spare*r.Estimate || r.TimeLeft < -(job.StaleFactor-1)*r.Objective
}
