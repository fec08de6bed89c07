package cellplay

import (
	"time"

	"coltsfootmux/internal/core/lag"
)

// Processor time of an owner's work at speed 1: estimates, of the order that profiles of the process show.
const (
	// stepCost is that of a step of the core without a placement pass, lookCost that of each look
	// of a pass at a worker.
	stepCost = 15 * time.Microsecond
	lookCost = 60 * time.Nanosecond
	// callCost is that of sending a call to a worker, and answerCost that of reading its answer.
	callCost   = 60 * time.Microsecond
	answerCost = 60 * time.Microsecond
	// dialCost is that of the new connection after a call that was given up.
	dialCost = 150 * time.Microsecond
)

// callLimit is the time limit of a call to a worker, beside the wait of a hold.
const callLimit = 700 * time.Millisecond

// processor carries out an owner's work in the order in which it became due, one piece at a time.
// Load pattern: a burst of work on a machine that is too slow for it.
type processor struct {
	// speed is relative to the costs; 0 means that work takes no time.
	speed float64
	queue []work
	// freeAt is when the present piece of work is done.
	freeAt time.Duration
	// late is how late work has begun at most since the last tick.
	late time.Duration
	lag  lag.Core
}

// work is a piece of work that is due at a time. It returns its cost.
type work struct {
	due time.Duration
	do  func() time.Duration
}

// add queues work that is due now.
func (p *processor) add(now time.Duration, do func() time.Duration) {
	if p.speed == 0 {
		do()
		return
	}
	p.queue = append(p.queue, work{now, do})
}

// run carries out the work for which there is time until now.
func (p *processor) run(now time.Duration) {
	for len(p.queue) > 0 && p.freeAt < now {
		w := p.queue[0]
		p.queue = p.queue[1:]
		p.late = max(p.late, now-w.due)
		p.spend(now, w.do())
	}
}

// spend takes the time that work costs, which began at the latest at now.
func (p *processor) spend(now, cost time.Duration) {
	if p.speed > 0 {
		p.freeAt = max(p.freeAt, now-timeStep) + p.timeFor(cost)
	}
}

// timeFor returns how long work of a cost takes.
func (p *processor) timeFor(cost time.Duration) time.Duration {
	if p.speed == 0 {
		return 0
	}
	return time.Duration(float64(cost) / p.speed)
}

// observe returns the lag, which counts work that still waits.
func (p *processor) observe(now time.Duration) time.Duration {
	if len(p.queue) > 0 {
		p.late = max(p.late, now-p.queue[0].due)
	}
	p.lag.Observe(now, p.late)
	p.late = 0
	return p.lag.Now(now)
}
