package partitionsim

import (
	"time"

	"coltsfootmux/internal/core/fitness"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
)

// Timing and bounds of probes of workers, as in package instance.
const (
	reachInterval      = 250 * time.Millisecond
	workerProbeTimeout = 500 * time.Millisecond
	probeAgainAfter    = 200 * time.Millisecond
	reachAskTimeout    = workerProbeTimeout + 400*time.Millisecond
	probedPeers        = 5
	minReachInterval   = 250 * time.Millisecond
)

// checkReach does what instance.owner.checkReach does.
func (o *owner) checkReach() {
	now := o.inst.clock()
	if o.core == nil || o.ended() || now < o.nextReachCheck {
		return
	}
	o.nextReachCheck = now + reachInterval
	o.stepFitness(fitness.Observed{Poor: o.core.Reach(now).Poor()})
}

// stepFitness passes an event to the owner's judgement of itself and performs its actions.
func (o *owner) stepFitness(ev fitness.Event) {
	i := o.inst
	for _, a := range o.fitness.Step(i.clock(), ev) {
		switch a := a.(type) {
		case fitness.Probe:
			i.deliver(0, func() { o.probe(a.Turn) })
		case fitness.Release:
			i.sim.tracef("%s is unfit for term %d: %s reaches more workers", i.name(), o.term, a.Successor)
			i.deliver(0, func() { i.stepTerm(term.Unfit{Term: o.term, Successor: a.Successor}) })
		}
	}
}

// probe finds out what this instance and some peers reach of a sample of the workers.
func (o *owner) probe(turn int) {
	if o.ended() {
		return
	}
	i, sample := o.inst, o.core.Sample(fitness.MaxSample)
	asked := i.reachPeers(turn)
	var result fitness.Probed
	peers := make([]*fitness.Peer, len(asked))
	pending := 1 + len(asked)
	done := func() {
		if pending--; pending > 0 {
			return
		}
		for _, p := range peers {
			if p != nil {
				result.Peers = append(result.Peers, *p)
			}
		}
		i.sim.tracef("%s compares what it reaches of %d workers: %v", i.name(), len(sample), result)
		o.stepFitness(result)
	}
	i.reachOf(sample, func(r fitness.Reached) { result.Own = r; done() })
	for n, p := range asked {
		i.askReach(p, sample, func(r fitness.Reached, ok bool) {
			if ok {
				peers[n] = &fitness.Peer{Addr: string(p.host), Reached: r}
			}
			done()
		})
	}
}

// reachPeers returns the peers that are asked in a turn.
func (i *instance) reachPeers(turn int) []*instance {
	addrs := i.witnessCandidates()
	var out []*instance
	for n := range min(probedPeers, len(addrs)) {
		out = append(out, i.sim.instanceAt(addrs[(turn*probedPeers+n)%len(addrs)]))
	}
	return out
}

// askReach asks a peer which of some workers it reaches.
func (i *instance) askReach(p *instance, workers []external.Worker, done func(r fitness.Reached, ok bool)) {
	var answer fitness.Reached
	execute := p.onArrival(func(reply func()) {
		if p.stopping || !p.storeAvailable || p.reachedAt > 0 && p.clock()-p.reachedAt < minReachInterval {
			return
		}
		p.reachedAt = p.clock()
		p.reachOf(workers, func(r fitness.Reached) { answer = r; reply() })
	})
	i.sim.send(call{from: i, to: p.host, timeout: reachAskTimeout, execute: execute, refused: p.isDead, done: func(r callResult) {
		done(answer, r == callAnswered)
	}})
}

// reachOf finds out which of some workers answer this instance, each to one of two probes.
func (i *instance) reachOf(workers []external.Worker, done func(fitness.Reached)) {
	var reached fitness.Reached
	for n, w := range workers {
		probe := func(timeout time.Duration) {
			i.sim.send(call{from: i, to: host(w.ID), timeout: timeout, execute: i.sim.workerAnswers(w.ID), done: func(r callResult) {
				if r == callAnswered {
					reached = reached.With(n)
				}
			}})
		}
		probe(workerProbeTimeout)
		i.deliver(probeAgainAfter, func() { probe(workerProbeTimeout - probeAgainAfter) })
	}
	i.deliver(workerProbeTimeout, func() { done(reached) })
}

// workerAnswers answers a probe if the worker is up.
func (s *simulation) workerAnswers(id external.WorkerID) func(reply func()) {
	return func(reply func()) {
		if !s.fleet.Machine(id).Down {
			reply()
		}
	}
}
