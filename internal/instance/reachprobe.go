package instance

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/fitness"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

const (
	// workerProbeTimeout is how long a worker may take to answer a probe. Without an answer it is
	// probed once more after probeAgainAfter, as single calls get lost.
	workerProbeTimeout = 500 * time.Millisecond
	probeAgainAfter    = 200 * time.Millisecond
	// reachAskTimeout bounds the question to a peer, which probes workers before it answers.
	reachAskTimeout = workerProbeTimeout + 400*time.Millisecond
	// probedPeers is the number of peers that are asked at once what they reach, probedWitnesses how many
	// of them are witnesses of the term if there are so many.
	probedPeers     = 5
	probedWitnesses = 3
	// minReachInterval is the least time between two probes that an instance makes for owners.
	minReachInterval = 250 * time.Millisecond
)

// stepFitness passes an event to the owner's judgement of itself and performs its actions.
func (o *owner) stepFitness(ev fitness.Event) {
	o.fitnessMu.Lock()
	actions := o.fitness.Step(boottime(), ev)
	o.fitnessMu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case fitness.Probe:
			o.inst.spawn(func(context.Context) { o.probe(a.Turn) })
		case fitness.Release:
			evUnfit.Log(o.ctx, o.inst.logger, slog.Int64("term", o.term), slog.String("successor", a.Successor))
			o.inst.stepTerm(term.Unfit{Term: o.term, Successor: a.Successor})
		}
	}
}

// probe finds out what this instance and some peers reach of a sample of the workers.
func (o *owner) probe(turn int) {
	var sample []external.Worker
	o.inst.withCell(func(c *cell.Core) { sample = c.Sample(fitness.MaxSample) })
	query := wire.ReachQuery{}
	for _, w := range sample {
		query.Workers = append(query.Workers, wire.ReachTarget{ID: string(w.ID), Addr: w.Addr})
	}
	var result fitness.Probed
	var wg sync.WaitGroup
	wg.Go(func() { result.Own = o.inst.reachOf(o.ctx, query.Workers) })
	wg.Go(func() { result.Peers = o.inst.askReach(o.ctx, turn, query) })
	wg.Wait()
	attrs := []slog.Attr{slog.Int64("term", o.term), slog.Int("sample", len(sample)), slog.Int("reached", result.Own.Count())}
	for _, p := range result.Peers {
		attrs = append(attrs, slog.Int(p.Addr, p.Reached.Count()))
	}
	evReachCompared.Log(o.ctx, o.inst.logger, attrs...)
	o.stepFitness(result)
}

// reachCandidates returns the addresses of the peers to ask in a turn: some of the owned term's witnesses,
// which have answered lately, and some others, of which most that ever announced themselves may be gone.
func (i *Instance) reachCandidates(turn int) []string {
	var witnesses []string
	for _, w := range i.latestTermRecord().Witnesses {
		witnesses = append(witnesses, w.Addr)
	}
	others := slices.DeleteFunc(i.members.witnessCandidates(boottime(), i.Settings.Zone), func(addr string) bool {
		return slices.Contains(witnesses, addr)
	})
	out := inTurn(witnesses, turn, probedWitnesses)
	return append(out, inTurn(others, turn, probedPeers-len(out))...)
}

// inTurn returns up to limit of some addresses, others in each turn.
func inTurn(addrs []string, turn, limit int) []string {
	var out []string
	for n := range min(limit, len(addrs)) {
		out = append(out, addrs[(turn*limit+n)%len(addrs)])
	}
	return out
}

// askReach asks some peers, others in each turn, which of some workers they reach, and returns those
// that answered, in the order of preference.
func (i *Instance) askReach(ctx context.Context, turn int, q wire.ReachQuery) []fitness.Peer {
	asked := i.reachCandidates(turn)
	ctx, cancel := context.WithTimeout(ctx, reachAskTimeout)
	defer cancel()
	replies := make([]*wire.ReachReply, len(asked))
	var wg sync.WaitGroup
	for n, addr := range asked {
		wg.Go(func() {
			r, err := link.Call[wire.ReachQuery, wire.ReachReply](ctx, i.pool, addr, wire.KindReach, q)
			if err == nil {
				replies[n] = &r
			}
		})
	}
	wg.Wait()
	var out []fitness.Peer
	for n, r := range replies {
		if r != nil {
			out = append(out, fitness.Peer{Addr: asked[n], Reached: fitness.Reached(r.Reached).Within(len(q.Workers))})
		}
	}
	return out
}

// onReach answers which of some workers this instance reaches. It refuses while it could not own the
// cell, while it probes, and for a while afterwards.
func (i *Instance) onReach(ctx context.Context, _ link.Peer, q wire.ReachQuery) (wire.ReachReply, error) {
	if i.stopping.Load() || !i.storeMonitor.noTopicUnavailable() {
		return wire.ReachReply{}, eris.Wrap(ErrUnavailable, "can't own the cell")
	}
	if !i.reachMu.TryLock() {
		return wire.ReachReply{}, eris.Wrap(ErrUnavailable, "busy with a probe")
	}
	defer i.reachMu.Unlock()
	if i.reachedAt != 0 && boottime()-i.reachedAt < minReachInterval {
		return wire.ReachReply{}, eris.Wrap(ErrUnavailable, "asked too often")
	}
	r := i.reachOf(ctx, q.Workers)
	i.reachedAt = boottime()
	evReachAnswered.Log(ctx, i.logger, slog.Int("asked", len(q.Workers)), slog.Int("reached", r.Count()))
	return wire.ReachReply{Reached: uint32(r)}, nil
}

// reachOf returns which of some workers, of fitness.MaxSample at most, answer this instance.
func (i *Instance) reachOf(ctx context.Context, workers []wire.ReachTarget) (r fitness.Reached) {
	ctx, cancel := context.WithTimeout(ctx, workerProbeTimeout)
	defer cancel()
	workers = workers[:min(len(workers), fitness.MaxSample)]
	answered := make([]bool, len(workers))
	var wg sync.WaitGroup
	for n, w := range workers {
		wg.Go(func() { answered[n] = i.reaches(ctx, w) })
	}
	wg.Wait()
	for n, ok := range answered {
		if ok {
			r = r.With(n)
		}
	}
	return r
}

// reaches reports whether a worker answers until ctx ends.
func (i *Instance) reaches(ctx context.Context, w wire.ReachTarget) bool {
	results := make(chan error, 2)
	try := func() { results <- i.Workers.Probe(ctx, external.WorkerID(w.ID), w.Addr) }
	go try()
	again := time.NewTimer(probeAgainAfter)
	defer again.Stop()
	for tries, failed := 1, 0; failed < 2; {
		select {
		case err := <-results:
			if err == nil {
				return true
			}
			if failed++; tries < 2 {
				tries++
				go try()
			}
		case <-again.C:
			if tries < 2 {
				tries++
				go try()
			}
		}
	}
	return false
}
