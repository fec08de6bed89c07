package partitionsim

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/lag"
	"coltsfootmux/internal/core/term"
)

// Timing and bounds of calls to peers, as in package instance.
const (
	peerTimeout      = 600 * time.Millisecond
	askTimeout       = 500 * time.Millisecond
	memberDemotion   = 3 * time.Second
	maxPeersPerCall  = 3
	maxHandoverPeers = 4
	// pollInterval is the time between two rounds of questions to peers while the store
	// does not answer.
	pollInterval = time.Second
)

// peers returns the peers in this instance's order, last those that failed to answer
// recently.
func (i *instance) peers() []*instance {
	all := i.sim.instances
	at := slices.Index(all, i)
	var responsive, unresponsive []*instance
	for _, p := range slices.Concat(all[at+1:], all[:at]) {
		if i.demoted(p.host) > 0 {
			unresponsive = append(unresponsive, p)
			continue
		}
		responsive = append(responsive, p)
	}
	return append(responsive, unresponsive...)
}

// callPeer plays a call to a peer. execute handles it there, and calls reply if it answers.
func (i *instance) callPeer(p *instance, timeout time.Duration, execute func(reply func()), done func(callResult)) {
	execute = p.onArrival(execute)
	i.sim.send(call{from: i, to: p.host, timeout: timeout, execute: execute, refused: p.isDead, done: func(r callResult) {
		if r == callAnswered {
			delete(i.lastFailure, p.host)
		} else {
			i.lastFailure[p.host] = i.sim.now
		}
		done(r)
	}})
}

// onArrival returns a function that has the present incarnation handle a call.
func (i *instance) onArrival(handle func(reply func())) func(reply func()) {
	return func(reply func()) { i.deliver(0, func() { handle(reply) }) }
}

func (i *instance) isDead() bool { return !i.alive }

// performPeerAction performs an action of the term's core that concerns peers.
func (i *instance) performPeerAction(a term.Action) {
	switch a := a.(type) {
	case term.QueryPeers:
		i.askPeersAboutStore()
	case term.NotifyPeers:
		i.notifyPeers(a.Record)
	case term.RequestYield:
		i.requestYield(a)
	case term.WriteVote:
		i.deliver(i.sim.between(0, maxSendDelay), func() { i.writeVote(a.Vote) })
	default:
		i.performWitnessAction(a)
	}
}

// storeAnswer is a peer's answer to the question whether the store serves it.
type storeAnswer struct {
	served bool
	term   term.Record
}

// askPeer asks a peer for its latest term record, and whether the store serves it if check
// is set.
func (i *instance) askPeer(p *instance, check bool, done func(a storeAnswer, ok bool)) {
	var answer storeAnswer
	execute := func(reply func()) {
		finish := func(served bool) {
			answer = storeAnswer{served: served, term: p.term.LatestRecord()}
			reply()
		}
		if check {
			p.confirmStore(confirmAttempts, finish)
			return
		}
		finish(p.storeAvailable)
	}
	i.callPeer(p, peerTimeout, execute, func(r callResult) {
		if r == callAnswered && answer.term.Term > i.term.LatestRecord().Term {
			i.stepTerm(term.PeerRecord{Record: answer.term})
		}
		done(answer, r == callAnswered)
	})
}

// askPeersAboutStore does what instance.askPeersAboutStore does.
func (i *instance) askPeersAboutStore() {
	var answered, served int
	var selfServed bool
	began, asked := i.sim.now, i.peers()
	asked = asked[:min(len(asked), maxPeersPerCall)]
	pending := 1 + len(asked)
	done := func() {
		if pending--; pending > 0 {
			return
		}
		i.sim.tracef("%s asked %d peers: %d answered, the store serves %d of them and itself: %v", i.name(), len(asked), answered, served, selfServed)
		if served > 0 && !selfServed && !lag.Explains(probeTimeout, i.processor.lag.Since(i.sim.now, began)) {
			i.stepTerm(term.PeersReachStore{})
		}
	}
	i.probeStore(probeTimeout, func(ok bool) { selfServed = ok; done() })
	for _, p := range asked {
		i.askPeer(p, true, func(a storeAnswer, ok bool) {
			if ok {
				answered++
			}
			if ok && a.served {
				served++
			}
			done()
		})
	}
}

// notifyPeers sends strong peers a record that the store does not accept from this instance.
func (i *instance) notifyPeers(r term.Record) {
	strong := slices.DeleteFunc(i.peers(), func(p *instance) bool { return !i.sim.isStrong(p) })
	for _, p := range strong[:min(len(strong), maxHandoverPeers)] {
		i.callPeer(p, askTimeout, func(reply func()) {
			p.stepTerm(term.PeerRecord{Record: r})
			reply()
		}, func(callResult) {})
	}
}

// requestYield asks the owner for its term.
func (i *instance) requestYield(a term.RequestYield) {
	p := i.sim.instanceAt(a.Addr)
	i.callPeer(p, askTimeout, func(reply func()) {
		p.stepTerm(term.YieldRequested{Term: a.Term, Addr: string(i.host)})
		reply()
	}, func(r callResult) {
		if r != callAnswered {
			i.requestYieldByVote(a)
		}
	})
}

// pollPeers asks peers for their latest term record while the store does not answer, as an
// instance does that looks for a newer policy.
func (i *instance) pollPeers() {
	i.deliver(pollInterval, i.pollPeers)
	if i.storeAvailable {
		return
	}
	asked := i.peers()
	for _, p := range asked[:min(len(asked), maxPeersPerCall)] {
		i.askPeer(p, false, func(storeAnswer, bool) {})
	}
}
