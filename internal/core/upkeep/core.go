package upkeep

import (
	"cmp"
	"slices"
	"time"
)

// Times and shares of a wave.
const (
	// orderInterval is the time between two orders for one machine.
	orderInterval = 700 * time.Millisecond
	// earlierOrderTime is how long after a takeover an order of the previous owner may still be
	// carried out: such a call is given up after two seconds.
	earlierOrderTime = 2 * time.Second
	// maxDownTime is the longest time after its order for which a machine counts as down.
	// The start of a new incarnation of its worker shows its return earlier.
	maxDownTime = 15 * time.Second
	// idleOnlyShare is the part of a wave's time in which only idle machines are chosen,
	// provided that the remaining time suffices for the others.
	idleOnlyShare = 0.3
)

// Wave is a set of machines for which operators have requested upkeep.
type Wave struct {
	Number   int64
	Machines []string
	// Duration is the time for the whole wave, MaxDown how many machines may be down at once.
	Duration time.Duration
	MaxDown  int
}

// Machine is what the owner of the cell knows of a machine.
type Machine struct {
	Name string
	// RunCount is the number of runs there, LossCoreSeconds the work that stopping them
	// would lose.
	RunCount        int
	LossCoreSeconds float64
	// Protected says that runs there must not be stopped now.
	Protected bool
	// WorkerStartedMS is the start of the worker's incarnation in Unix milliseconds; 0 if the
	// machine has no worker.
	WorkerStartedMS int64
}

// Result is the result of an order.
type Result int

// The results of an order.
const (
	// Begun means that the upkeep has begun, or is over already.
	Begun Result = iota
	// Busy means that the upkeep can't begin now.
	Busy
	// NotFound means that there is no such machine, or that it is not part of the wave.
	NotFound
	// OutcomeUnknown means that the upkeep may have begun.
	OutcomeUnknown
)

// Order starts the upkeep of a machine.
type Order struct {
	Machine string
	Wave    int64
}

// Report says that a wave has begun or, with Complete, that it is over.
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
	// ordered machines have a pending order, or an order whose outcome is unknown.
	ordered
	down
	done
)

type machine struct {
	name      string
	state     state
	nextOrder time.Duration
	// mayHaveBegun says that an order without an answer may have been executed.
	mayHaveBegun bool
	// orderedAt is the time of the first order, orderedAtMS the same in Unix milliseconds.
	orderedAt   time.Duration
	orderedAtMS int64
}

type wave struct {
	Wave
	began    time.Duration
	machines []*machine
	reported bool
	complete bool
}

// Core is the state of all known waves.
type Core struct {
	upkeepTime time.Duration
	// firstOrder is the earliest time of an order.
	firstOrder time.Duration
	waves      []*wave
}

// New returns the Core of an owner that has just taken over; upkeepTime is how long the upkeep of
// one machine takes. Which machines the previous owner has ordered is not known, and the list of
// workers shows it late. So nothing is ordered until these are certainly back.
func New(now, upkeepTime time.Duration) *Core {
	return &Core{upkeepTime: upkeepTime, firstOrder: now + earlierOrderTime + upkeepTime}
}

// Add adds a wave. It ignores a wave whose number is known already.
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

// Answered processes the result of an order.
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
		m.nextOrder = now + orderInterval
		// The machine may be busy with the upkeep itself; then it still counts as down.
		if !m.mayHaveBegun || now-m.orderedAt > maxDownTime {
			m.state, m.mayHaveBegun = waiting, false
		}
	case OutcomeUnknown:
		m.mayHaveBegun = true
		m.nextOrder = now + orderInterval // counts as down, and the order is repeated
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

// HasOpenWaves reports whether any wave is incomplete.
func (c *Core) HasOpenWaves() bool {
	return slices.ContainsFunc(c.waves, func(w *wave) bool { return !w.complete })
}

// Step returns the actions that are due, given the present state of the machines.
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
	if !w.reported {
		w.reported = true
		out = append(out, Report{Wave: w.Number})
	}
	downCount, waitingCount := 0, 0
	for _, m := range w.machines {
		c.noteReturn(now, m, known[m.name])
		switch m.state {
		case waiting:
			waitingCount++
		case ordered, down:
			downCount++
		}
	}
	if downCount == 0 && waitingCount == 0 {
		w.complete = true
		return append(out, Report{Wave: w.Number, Complete: true})
	}
	out = c.resendOrders(now, w, out)
	for _, m := range c.candidates(now, w, known, waitingCount) {
		if downCount >= max(w.MaxDown, 1) {
			break
		}
		downCount++
		m.state, m.orderedAt, m.orderedAtMS, m.nextOrder = ordered, now, unixMS, now+orderInterval
		out = append(out, Order{Machine: m.name, Wave: w.Number})
	}
	return out
}

// noteReturn records that a machine is no longer down.
func (c *Core) noteReturn(now time.Duration, m *machine, k Machine) {
	if m.state != down {
		return
	}
	if k.WorkerStartedMS > m.orderedAtMS || now-m.orderedAt > maxDownTime {
		m.state = done
	}
}

// resendOrders repeats the orders that went unanswered.
func (c *Core) resendOrders(now time.Duration, w *wave, out []Action) []Action {
	for _, m := range w.machines {
		if m.state == ordered && now >= m.nextOrder {
			m.nextOrder = now + orderInterval
			out = append(out, Order{Machine: m.name, Wave: w.Number})
		}
	}
	return out
}

// candidates returns the machines whose upkeep may begin now, those that lose the least
// work first. Busy machines are included only once the rest of the wave's time is
// needed for them.
func (c *Core) candidates(now time.Duration, w *wave, known map[string]Machine, waitingCount int) []*machine {
	rounds := (waitingCount + max(w.MaxDown, 1) - 1) / max(w.MaxDown, 1)
	timeNeeded := time.Duration(rounds) * (c.upkeepTime + time.Second)
	includeBusy := now-w.began+timeNeeded > w.Duration || now-w.began > time.Duration(idleOnlyShare*float64(w.Duration))
	var out []*machine
	if now < c.firstOrder {
		return nil
	}
	for _, m := range w.machines {
		k := known[m.name]
		if m.state != waiting || now < m.nextOrder || k.Protected || (k.RunCount > 0 && !includeBusy) {
			continue
		}
		out = append(out, m)
	}
	slices.SortStableFunc(out, func(a, b *machine) int {
		return cmp.Compare(known[a.name].LossCoreSeconds, known[b.name].LossCoreSeconds)
	})
	return out
}
