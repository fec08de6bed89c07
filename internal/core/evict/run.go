package evict

import "time"

// Run is a run that may be stopped, with the other members of its gang.
type Run struct {
	// Cores are those of all runs that stop with it.
	Cores float64
	// Unsaved is the work in core-seconds that they lose for certain: since the last
	// checkpoint or their start, with the time of the restore.
	Unsaved float64
	// Lost are the core-seconds that the unit has lost to earlier evictions.
	Lost float64
	// Stop is how long a stop takes, in which the room is of no use.
	Stop time.Duration
}

// Loss returns the cost in core-seconds of stopping the run. What the unit has lost
// before counts with it, so that it is not the same one that loses each time.
func (r Run) Loss() float64 { return r.Unsaved + r.Cores*r.Stop.Seconds() + r.Lost }

// minEndPercent is the progress from which a run's end is told from it: progress is
// listed in whole percents.
const minEndPercent = 20

// Progress is what is known of a run's progress.
type Progress struct {
	// Age is how long the run has been running, ListedAge how long it had when its
	// progress was Percent.
	Age, ListedAge time.Duration
	Percent        int
}

// Left returns in how long the run is expected to end. It is not known for runs that show
// little progress: waiting for a run that does not end costs both the wait and the stop.
func (p Progress) Left() (left time.Duration, known bool) {
	if p.Percent < minEndPercent || p.ListedAge <= 0 {
		return 0, false
	}
	return p.ListedAge*100/time.Duration(p.Percent) - p.Age, true
}
