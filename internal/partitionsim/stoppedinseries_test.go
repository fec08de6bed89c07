package partitionsim

import (
	"testing"
	"time"
)

// Cycle of an owner that is stopped in series: a run, and a stop of about as long as a link or a term outlives
// it, or longer.
const (
	minSeriesRun  = 100 * time.Millisecond
	maxSeriesRun  = 500 * time.Millisecond
	minSeriesStop = 2 * time.Second
	maxSeriesStop = 4500 * time.Millisecond
)

// stoppedInSeries leaves the instances in cycles of short runs and long stops.
func stoppedInSeries(s *simulation, affected []*instance) {
	for _, i := range affected {
		run, stop := s.between(minSeriesRun, maxSeriesRun), s.between(minSeriesStop, maxSeriesStop)
		s.tracef("%s is stopped for %v in each %v", i.name(), stop, stop+run)
		s.pauseInSeries(i, stop, run)
	}
}

// TestWorkGoesOnBesideOwnerStoppedInSeries guards against an owner that in each short run answers a
// witness and renews its term.
func TestWorkGoesOnBesideOwnerStoppedInSeries(t *testing.T) {
	runLastingFaults(t, minorityOf, stoppedInSeries)
}

// TestOwnerStoppedInSeriesLosesItsTerm guards against such an owner that keeps its term, or gets it again.
func TestOwnerStoppedInSeriesLosesItsTerm(t *testing.T) {
	runProgressSeeds(t, func(seed uint64) *simulation {
		s := newLastingFaults(t, seed)
		affected := s.ownerAnd(0)
		if affected == nil {
			s.violationf("no instance owns the cell")
			return s
		}
		stoppedInSeries(s, affected)
		s.run(recoverWithin)
		for range 100 {
			if affected[0].owner != nil && !affected[0].paused {
				s.violationf("%s owns the cell", affected[0].name())
				break
			}
			s.run(standingInterval)
		}
		s.heal()
		s.endJobs()
		return s
	})
}
