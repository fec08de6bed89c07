package displace

import "time"

const (
	// minClaimWait is how long a gang waits before it claims the room that comes free. In
	// a pool that is not full, it finds a place within this time.
	minClaimWait = 2 * time.Second
	// minPoolUse is the share of a pool that must be in use for a gang to claim room. Below,
	// there is room for both, and the gang waits for something else.
	minPoolUse = 0.6
)

// ClaimsRoom reports whether work of lower priority has to leave the gang the room that
// comes free in its pool, of which the given share is in use. Such work otherwise takes
// each part of the room as soon as it comes free, and a wide gang never finds all of it.
func (g Gang) ClaimsRoom(poolUse float64) bool {
	return g.Waited >= minClaimWait && poolUse >= minPoolUse
}

// Work is waiting work of lower priority than a gang that claims room.
type Work struct {
	// TimeLeft is the time until its job's objective, less the run time of later steps;
	// negative after it.
	TimeLeft time.Duration
	// RunTime is its predicted run time.
	RunTime time.Duration
}

// LeavesRoom reports whether the work can start later without loss to its caller: it has
// more than the given multiple of its run time left.
func (w Work) LeavesRoom(runTimes float64) bool {
	return runTimes > 0 && float64(w.TimeLeft) > runTimes*float64(w.RunTime)
}
