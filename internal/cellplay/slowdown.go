package cellplay

import "time"

// Slowdown is a time in which the owner's processor has another speed.
type Slowdown struct {
	At       time.Duration
	Duration time.Duration
	Speed    float64
}

// injectSlowdown schedules the start and the end of a slowdown.
func (s *simulator) injectSlowdown(d Slowdown) {
	s.after(d.At, func() { s.cpu.speed = d.Speed })
	s.after(d.At+d.Duration, func() { s.cpu.speed = s.trace.Params.ProcessorSpeed })
}
