package evict

import "time"

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
