package cellplay

import (
	"math/rand/v2"
	"time"

	"coltsfootmux/internal/standin/fleet"
)

// WorkerFault makes a part of the workers misbehave for a time.
type WorkerFault struct {
	At       time.Duration
	Duration time.Duration
	Mode     fleet.Mode
	// Share is the part of the workers, drawn with Seed.
	Share float64
	Seed  uint64
}

// befall schedules a trouble and its end.
func (p *player) befall(t WorkerFault) {
	rng := rand.New(rand.NewPCG(t.Seed, 0))
	for _, w := range p.trace.Workers {
		if rng.Float64() >= t.Share {
			continue
		}
		m := p.fleet.Machine(w.ID)
		p.after(t.At, func() { m.Mode = t.Mode })
		p.after(t.At+t.Duration, func() { m.Mode = fleet.Sound })
	}
}
