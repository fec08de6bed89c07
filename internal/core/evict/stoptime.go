package evict

import "time"

const (
	// stopMemory is how many stops the mean covers; older ones fade.
	stopMemory = 32
	// minStops is how many stops must have been seen before the mean counts.
	minStops = 4
	// worthwhileStop is the mean from which it is worthwhile to choose victims by when
	// they end. Where stops take up to 0.2 s hardly any run ends in that time.
	worthwhileStop = 180 * time.Millisecond
	// worthlessStop is the mean below which it is not any more.
	worthlessStop = 150 * time.Millisecond
)

// StopTime learns how long stops take. The zero value has seen none.
type StopTime struct {
	mean       time.Duration
	count      int
	worthwhile bool
}

// Stopped records a run that ended the time took after it was first ordered to stop.
func (s *StopTime) Stopped(took time.Duration) {
	s.count = min(s.count+1, stopMemory)
	s.mean += (took - s.mean) / time.Duration(s.count)
	switch {
	case s.count < minStops || s.mean < worthlessStop:
		s.worthwhile = false
	case s.mean >= worthwhileStop:
		s.worthwhile = true
	}
}

// Mean returns the recent mean.
func (s *StopTime) Mean() time.Duration { return s.mean }

// Worthwhile reports whether stops take long enough to wait for the ends of runs instead.
func (s *StopTime) Worthwhile() bool { return s.worthwhile }
