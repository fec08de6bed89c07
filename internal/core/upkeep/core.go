package upkeep

import (
	"cmp"
	"slices"
	"time"
)

// Times of upkeep.
const (
	// retryAfter lies between two orders for one machine.
	retryAfter = 700 * time.Millisecond
	// returnTime is the longest that a machine is taken as down after its order;
	// a worker of it that was born since shows its return sooner.
	returnTime = 15 * time.Second
	// idleShare is the part of a wave's time in which only idle machines are
	// taken, if the rest suffices for the others.
	idleShare = 0.3
)

// Wave is what operators ask for.
type Wave struct {
	Number   int64
	Machines []string
	// Duration is the time for the whole wave, Cap how many may be down at once.
	Duration time.Duration
	MaxDown  int
}

// Machine is what is known of a machine.
type Machine struct {
	Name string
	// RunCount counts the tasks there, Loss is what their end would lose in core-seconds.
	RunCount        int
	LossCoreSeconds float64
	// Protected says that tasks there must not be ended now.
	Protected bool
	// WorkerStartedMS is the start of its worker's life, in Unix milliseconds; 0 without a worker.
	WorkerStartedMS int64
}

// Result is what became of an order.
type Result int

// The results of an order.
const (
	// Begun means that the machine has or had its upkeep.
	Begun Result = iota
	// Busy means that the machine can't have it now.
	Busy
	// NotFound means that there is no such machine, or that it is not of the wave.
	NotFound
	// OutcomeUnknown means that it may have begun.
	OutcomeUnknown
)

// Order starts a machine's upkeep.
type Order struct {
	Machine string
	Wave    int64
}

// Report says how far a wave is.
type Report struct {
	Wave     int64
	Complete bool
}

// Action is an Order or a Report.
type Action interface{ action() }

func (Order) action()  {}
func (Report) action() {}

type state int

const (
	waiting state = iota
	// ordered machines have an order without an answer under way, or may have begun.
	ordered
	down
	done
)

type machine struct {
	name  string
	state state
	next  time.Duration
	// doubt says that an order without an answer may have been carried out.
	doubt bool
	// since is when its upkeep was ordered first, sinceMS the same as time of day.
	since   time.Duration
	sinceMS int64
}

type wave struct {
	Wave
	began    time.Duration
	machines []*machine
	told     bool
	complete bool
}

// Core holds the waves that are known.
type Core struct {
	upkeep time.Duration
	waves  []*wave
}

// New makes a core; upkeep is how long one machine's upkeep takes.
func New(upkeep time.Duration) *Core { return &Core{upkeep: upkeep} }

// Add makes a wave known. A repeat of a known number changes nothing.
func (c *Core) Add(now time.Duration, w Wave) {
	if slices.ContainsFunc(c.waves, func(o *wave) bool { return o.Number == w.Number }) {
		return
	}
	n := &wave{Wave: w, began: now}
	for _, name := range w.Machines {
		n.machines = append(n.machines, &machine{name: name})
	}
	c.waves = append(c.waves, n)
	slices.SortFunc(c.waves, func(a, b *wave) int { return cmp.Compare(a.Number, b.Number) })
}

// Answered takes in what became of an order.
func (c *Core) Answered(now time.Duration, o Order, r Result) {
	m := c.find(o)
	if m == nil || m.state != ordered {
		return
	}
	switch r {
	case Begun:
		m.state = down
	case NotFound:
		m.state = done
	case Busy:
		m.next = now + retryAfter
		// It may be busy with the upkeep itself; then it still counts as down.
		if !m.doubt || now-m.since > returnTime {
			m.state, m.doubt = waiting, false
		}
	case OutcomeUnknown:
		m.doubt = true
		m.next = now + retryAfter // it counts as down and is ordered again
	}
}

func (c *Core) find(o Order) *machine {
	for _, w := range c.waves {
		if w.Number != o.Wave {
			continue
		}
		for _, m := range w.machines {
			if m.name == o.Machine {
				return m
			}
		}
	}
	return nil
}

// HasOpenWaves says whether any wave is not complete.
func (c *Core) HasOpenWaves() bool {
	return slices.ContainsFunc(c.waves, func(w *wave) bool { return !w.complete })
}

// Step gives what is to be done, with the machines as they are now.
func (c *Core) Step(now time.Duration, unixMS int64, known []Machine) []Action {
	byName := make(map[string]Machine, len(known))
	for _, m := range known {
		byName[m.Name] = m
	}
	var out []Action
	for _, w := range c.waves {
		if !w.complete {
			out = c.stepWave(now, unixMS, w, byName, out)
		}
	}
	return out
}

func (c *Core) stepWave(now time.Duration, unixMS int64, w *wave, known map[string]Machine, out []Action) []Action {
	if !w.told {
		w.told = true
		out = append(out, Report{Wave: w.Number})
	}
	away, left := 0, 0
	for _, m := range w.machines {
		c.settle(now, m, known[m.name])
		switch m.state {
		case waiting:
			left++
		case ordered, down:
			away++
		}
	}
	if away == 0 && left == 0 {
		w.complete = true
		return append(out, Report{Wave: w.Number, Complete: true})
	}
	out = c.repeat(now, w, out)
	for _, m := range c.choose(now, w, known, left) {
		if away >= max(w.MaxDown, 1) {
			break
		}
		away++
		m.state, m.since, m.sinceMS, m.next = ordered, now, unixMS, now+retryAfter
		out = append(out, Order{Machine: m.name, Wave: w.Number})
	}
	return out
}

// settle notes that a machine is back.
func (c *Core) settle(now time.Duration, m *machine, k Machine) {
	if m.state != down {
		return
	}
	if k.WorkerStartedMS > m.sinceMS || now-m.since > returnTime {
		m.state = done
	}
}

// repeat orders again what had no answer.
func (c *Core) repeat(now time.Duration, w *wave, out []Action) []Action {
	for _, m := range w.machines {
		if m.state == ordered && now >= m.next {
			m.next = now + retryAfter
			out = append(out, Order{Machine: m.name, Wave: w.Number})
		}
	}
	return out
}

// choose gives the machines that may be taken now, those that lose the least
// first; busy ones only once the rest of the wave's time is needed for them.
func (c *Core) choose(now time.Duration, w *wave, known map[string]Machine, left int) []*machine {
	rounds := (left + max(w.MaxDown, 1) - 1) / max(w.MaxDown, 1)
	need := time.Duration(rounds) * (c.upkeep + time.Second)
	late := now-w.began+need > w.Duration || now-w.began > time.Duration(idleShare*float64(w.Duration))
	var out []*machine
	for _, m := range w.machines {
		k := known[m.name]
		if m.state != waiting || now < m.next || k.Protected || (k.RunCount > 0 && !late) {
			continue
		}
		out = append(out, m)
	}
	slices.SortStableFunc(out, func(a, b *machine) int {
		return cmp.Compare(known[a.name].LossCoreSeconds, known[b.name].LossCoreSeconds)
	})
	return out
}
