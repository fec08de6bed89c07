package scheduler

import (
	"coltsfootmux/internal/core/membership"
	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/model"
)

// memberMsg brings what a source tells of workers.
type memberMsg struct{ ev membership.Event }

func (memberMsg) message() {}

// member takes in what a source tells, and passes on to placement what follows: a
// contact each time, the host list's word when it changes something.
func (l *loop) member(m memberMsg) {
	changed := l.members.Step(now(), m.ev)
	switch e := m.ev.(type) {
	case membership.Answered:
		l.seen(l.members.Standing(e.Worker))
	case membership.Silent:
		l.seen(l.members.Standing(e.Worker))
	default:
		for _, c := range changed {
			l.seen(c)
		}
	}
}

func (l *loop) seen(c membership.Changed) {
	l.stepPlace(placement.WorkerSeen{Worker: c.Worker, Up: c.Up, Leaving: c.Leaving})
}

// unusable tells placement which workers of a gained cell must get nothing new.
func (l *loop) unusable(c model.Cell) {
	for _, w := range c.Workers {
		if s := l.members.Standing(w.ID); !s.Usable() {
			l.seen(s)
		}
	}
}
