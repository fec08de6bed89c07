package cellplay

import "time"

// StoreOutage is a time in which the store carries out no appends. The owner repeats them until
// it does, and its peers confirm its term meanwhile.
type StoreOutage struct {
	At       time.Duration
	Duration time.Duration
}

// appendTime returns how long an append takes that begins now.
func (s *simulator) appendTime() time.Duration {
	wait := time.Duration(0)
	for _, o := range s.trace.Outages {
		if s.now >= o.At && s.now < o.At+o.Duration {
			wait = max(wait, o.At+o.Duration-s.now)
		}
	}
	return wait + appendLatency
}
