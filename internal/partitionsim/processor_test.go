package partitionsim

import (
	"time"

	"coltsfootmux/internal/core/lag"
)

const (
	// minEventCost and maxEventCost bound the processor time that an event takes at an instance which is
	// short of it: from some lag to several times more work than there is time for.
	minEventCost = 2 * time.Millisecond
	maxEventCost = 30 * time.Millisecond
	// answerWakeUps is how often the answer to a call waits for the processor.
	answerWakeUps = 4
)

// processor makes an instance handle its events one after the other. An event that costs nothing still
// waits for those before it.
type processor struct {
	cost   time.Duration
	freeAt time.Duration
	lag    lag.Core
}

// begin takes in an event that is due now. It returns how long the event waits.
func (p *processor) begin(now time.Duration) time.Duration {
	at := max(now, p.freeAt)
	p.freeAt = at + p.cost
	if at > now || p.cost > 0 {
		p.lag.Observe(now, at-now)
	}
	return at - now
}

// handle calls do as soon as the instance has time for it.
func (i *instance) handle(do func()) {
	if i.paused {
		i.backlog = append(i.backlog, do)
		return
	}
	wait := i.processor.begin(i.sim.now)
	if wait == 0 {
		do()
		return
	}
	i.sim.schedule(wait, func() {
		if i.paused {
			i.backlog = append(i.backlog, do)
			return
		}
		do()
	})
}

// handleAnswer calls do once the instance has had time for all steps of reading an answer.
func (i *instance) handleAnswer(steps int, do func()) {
	if steps == 1 || i.processor.freeAt <= i.sim.now && i.processor.cost == 0 {
		do()
		return
	}
	i.deliver(0, func() { i.handleAnswer(steps-1, do) })
}

// shortOfTime lets each event at an instance take some processor time from now on; 0 ends it.
func (i *instance) shortOfTime(cost time.Duration) {
	i.processor.cost = cost
	i.sim.tracef("%s takes %v for each event", i.name(), cost)
}

// slowInstance leaves a process short of processor time for a while.
func (s *simulation) slowInstance() {
	i := s.ownerOrAny()
	if !i.alive || i.processor.cost > 0 {
		return
	}
	i.shortOfTime(s.between(minEventCost, maxEventCost))
	s.schedule(s.faultLength(), func() { i.shortOfTime(0) })
}
