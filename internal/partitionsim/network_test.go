package partitionsim

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/lag"
)

// host is the name of a machine in the network: an instance's, a worker's or the store's.
type host string

const storeHost host = "store"

// linkState says what becomes of a message from one host to another.
type linkState int

const (
	linkOK linkState = iota
	// linkSilent links lose all messages.
	linkSilent
	// linkRefused links refuse connections and break those that exist.
	linkRefused
)

// direction is a link from one host to another.
type direction struct{ from, to host }

// network is the state of all links.
type network struct {
	// island holds the hosts on one side of the present partition; nil if there is none.
	island      map[host]bool
	islandState linkState
	// cuts holds the links that are cut by themselves.
	cuts map[direction]linkState
	// storeDown is the state of all links to the store.
	storeDown linkState
	// hostsDown holds the hosts that are switched off.
	hostsDown map[host]bool
}

// state returns the state of a link.
func (n *network) state(from, to host) linkState {
	if n.hostsDown[to] {
		return linkSilent
	}
	if n.island != nil && n.island[from] != n.island[to] {
		return n.islandState
	}
	if from == storeHost || to == storeHost {
		if n.storeDown != linkOK {
			return n.storeDown
		}
	}
	return n.cuts[direction{from, to}]
}

// heal ends all cuts at once.
func (n *network) heal() {
	n.island, n.storeDown = nil, linkOK
	clear(n.cuts)
	clear(n.hostsDown)
}

// islandNames returns the hosts on the island, for the trace.
func (n *network) islandNames() []host {
	var out []host
	for h := range n.island {
		out = append(out, h)
	}
	slices.Sort(out)
	return out
}

// callResult says what a caller learns of a call.
type callResult int

const (
	callAnswered callResult = iota
	// callRefused means that the call was certainly not carried out.
	callRefused
	// callUnknown means that the call may have been carried out, or may still be.
	callUnknown
)

// call is a call from an instance to a host.
type call struct {
	from *instance
	to   host
	// timeout is how long the caller waits for the answer.
	timeout time.Duration
	// execute carries the call out at its target, and calls reply if and when that answers.
	execute func(reply func())
	// delayed, if set, is called if the call does not reach its target, or does so late.
	delayed func()
	// refused, if set, reports that nothing listens at the target.
	refused func() bool
	// done receives the result at the caller, once.
	done func(callResult)
}

// delay returns the time that a message takes.
func (s *simulation) delay() time.Duration {
	if s.chance(0.02) {
		return s.between(40*time.Millisecond, 400*time.Millisecond)
	}
	return s.between(time.Millisecond, s.maxDelay)
}

// delayTo returns the time that a message to or from a host takes.
func (s *simulation) delayTo(h host) time.Duration {
	if h == storeHost {
		return s.delay() + s.storeDelay
	}
	return s.delay()
}

// send plays a call: it is lost, late or answered.
func (s *simulation) send(c call) {
	finished := false
	end := func(r callResult) {
		if !finished {
			finished = true
			c.done(r)
		}
	}
	finish := func(after time.Duration, r callResult) {
		c.from.deliver(after, func() {
			if r != callAnswered {
				end(r)
				return
			}
			c.from.handleAnswer(answerWakeUps, func() { end(r) })
		})
	}
	s.limit(c, func() { end(callUnknown) })
	switch s.net.state(c.from.host, c.to) {
	case linkRefused:
		finish(s.delay(), callRefused)
		return
	case linkSilent:
		if s.chance(s.lateRate) {
			s.carryOutLate(c)
		}
		return
	}
	switch p := s.rng.Float64(); {
	case p < s.lossRate:
		s.schedule(s.delayTo(c.to), func() { s.carryOut(c, func() {}, finish) })
	case p < s.lossRate+s.lateRate:
		s.carryOutLate(c)
	default:
		s.schedule(s.delayTo(c.to), func() { s.carryOut(c, func() { s.answer(c, finish) }, finish) })
	}
}

// limit ends a call after its time limit and, if it is not to a peer, after what the caller allows for its
// own lag.
func (s *simulation) limit(c call, end func()) {
	began := s.now
	c.from.deliver(c.timeout, func() {
		more := lag.Allowance(c.from.processor.lag.Since(c.from.sim.now, began))
		if more == 0 || s.isInstance(c.to) {
			end()
			return
		}
		c.from.deliver(more, end)
	})
}

// carryOut carries a call out if it reaches its target.
func (s *simulation) carryOut(c call, reply func(), finish func(time.Duration, callResult)) {
	switch state := s.net.state(c.from.host, c.to); {
	case state == linkRefused:
		finish(0, callUnknown)
	case state == linkOK && c.refused != nil && c.refused():
		finish(s.delay(), callRefused)
	case state == linkOK:
		c.execute(reply)
	}
}

// answer sends an answer back.
func (s *simulation) answer(c call, finish func(time.Duration, callResult)) {
	switch s.net.state(c.to, c.from.host) {
	case linkOK:
		finish(s.delayTo(c.to), callAnswered)
	case linkRefused:
		finish(s.delay(), callUnknown)
	}
}

// carryOutLate carries a call out after its caller has given it up.
func (s *simulation) carryOutLate(c call) {
	if c.delayed != nil {
		c.delayed()
	}
	s.schedule(s.between(300*time.Millisecond, 6*time.Second), func() {
		if s.net.state(c.from.host, c.to) != linkOK {
			return
		}
		s.fleet.OrderDelayed = true
		c.execute(func() {})
		s.fleet.OrderDelayed = false
	})
}
