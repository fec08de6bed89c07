package faultrun

import (
	"time"

	"coltsfootmux/internal/model"
)

// The one-way times between two places.
const (
	nearDelay = 1500 * time.Microsecond
	farDelay  = 20 * time.Millisecond
	// lateBy is the most by which a slow message is late.
	lateBy = 5 * time.Second
)

// Faults are the shares of messages that something happens to, from 0 to 1.
type Faults struct {
	Lost    float64
	Doubled float64
	Slow    float64
}

// network carries messages between places.
type network struct {
	faults Faults
	// cut holds until when a region is cut off from the others.
	cut map[model.Region]time.Time
	// silent holds the connections, by the names of their ends, that carry nothing
	// until they are dialled anew.
	silent map[[2]string]bool
	// sent counts the messages by kind.
	sent map[string]int
}

// place is an end of a message.
type place struct {
	name   string
	region model.Region
}

func (s *Sim) reachable(a, b place) bool {
	if a.region != b.region && (s.now.Before(s.net.cut[a.region]) || s.now.Before(s.net.cut[b.region])) {
		return false
	}
	return !s.net.silent[[2]string{a.name, b.name}] && !s.net.silent[[2]string{b.name, a.name}]
}

// redial replaces a connection after too long a silence.
func (s *Sim) redial(a, b place) {
	delete(s.net.silent, [2]string{a.name, b.name})
	delete(s.net.silent, [2]string{b.name, a.name})
}

// send delivers a message, or not, or twice.
func (s *Sim) send(kind string, from, to place, deliver func()) {
	s.net.sent[kind]++
	if !s.reachable(from, to) || s.rng.Float64() < s.net.faults.Lost {
		return
	}
	s.after(s.delay(from, to), deliver)
	if s.rng.Float64() < s.net.faults.Doubled {
		s.after(s.delay(from, to), deliver)
	}
}

func (s *Sim) delay(from, to place) time.Duration {
	d := nearDelay
	if from.region != to.region {
		d = farDelay
	}
	d += time.Duration(s.rng.Int64N(int64(d)))
	if s.rng.Float64() < s.net.faults.Slow {
		d += time.Duration(s.rng.Int64N(int64(lateBy)))
	}
	return d
}

// call asks a worker and brings its answer to the host, or that there was none.
func call[T any](h *host, kind string, w *machine, do func(m *machine) (T, error), done func(T, error)) {
	s, boot := h.sim, h.boot
	answered := false
	reply := func(v T, err error) {
		h.post(boot, func() {
			if !answered {
				answered = true
				done(v, err)
			}
		})
	}
	s.send(kind, h.place, w.place, func() {
		if w.dead {
			return
		}
		v, err := do(w)
		s.send(kind+" answer", w.place, h.place, func() { reply(v, err) })
	})
	s.after(callTimeout, func() {
		if !answered {
			s.redial(h.place, w.place)
		}
		var none T
		reply(none, errNoAnswer)
	})
}
