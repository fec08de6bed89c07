package cellplay

import (
	"math/rand/v2"
	"time"

	"coltsfootmux/internal/standin/fleet"
)

// WorkerFault makes some of the workers misbehave for a limited time.
type WorkerFault struct {
	At       time.Duration
	Duration time.Duration
	Mode     fleet.Mode
	// Share is the fraction of the workers that is affected, drawn with Seed.
	Share float64
	Seed  uint64
}

// injectFault schedules the start and the end of a fault.
func (s *simulator) injectFault(t WorkerFault) {
	rng := rand.New(rand.NewPCG(t.Seed, 0))
	for _, w := range s.trace.Workers {
		if rng.Float64() >= t.Share {
			continue
		}
		m := s.fleet.Machine(w.ID)
		s.after(t.At, func() { m.Mode = t.Mode })
		s.after(t.At+t.Duration, func() { m.Mode = fleet.Healthy })
	}
}
