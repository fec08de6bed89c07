package cell

import (
	"fmt"
	"slices"
	"time"

	"coltsfootmux/internal/core/interference"
	"coltsfootmux/internal/core/lag"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/overview"
)

const (
	// judgeInterval is how often the evidence about one victim is reviewed. There are as
	// many victims as queues or images; with three, each is reviewed every 1.2 s.
	judgeInterval = 400 * time.Millisecond
	// latencyInterval is the least time between two samples of a serving task's latency.
	latencyInterval = time.Second
	// latencyWindow is the time that a measurement of a worker covers.
	latencyWindow = 500 * time.Millisecond
)

// PairChanged reports that tasks were found to slow each other down, or no longer do, for
// the log.
type PairChanged struct{ interference.Change }

// PlacedApart reports that a unit was placed elsewhere because of interference.
type PlacedApart struct{}

func (PairChanged) action() {}
func (PlacedApart) action() {}

// interferenceState is what a cell knows of tasks that slow each other down. The model is
// nil if the setting is off.
type interferenceState struct {
	model     *interference.Model
	nextJudge time.Duration
	// ignored is set while it is determined where a unit would be placed without it.
	ignored bool
}

func newInterferenceState(s Settings) interferenceState {
	if s.InterferenceSlowdown <= 0 {
		return interferenceState{}
	}
	return interferenceState{model: interference.New(s.InterferenceSlowdown)}
}

// profile names the tasks that behave like those of the group.
func (g *taskGroup) profile() string {
	if g.step.Image != "" {
		return g.step.Image
	}
	return g.occ.entry.job.Queue.Name
}

// id names the group among all.
func (g *taskGroup) id() string {
	return fmt.Sprintf("%s.%d.%d", g.occ.entry.job.ID, g.occ.index, g.index)
}

// observeEnd takes the evidence of a run that has been removed from its worker. The runs
// of a step are compared once its last one has ended: the first ones to end are the
// shorter ones.
func (c *Core) observeEnd(r *run, reason external.EndReason) {
	if c.interference.model == nil || r.startedAt == 0 || r.startedAt == c.now.Mono {
		return
	}
	g := r.unit.group
	if reason == external.EndedDone && r.unit.state != unitDone && isComparable(r) {
		g.endedRuns = append(g.endedRuns, interference.Run{
			Worker: string(r.worker.ID), Start: r.startedAt, End: c.now.Mono,
			TimeFactor: r.worker.timeFactor(), Present: r.worker.exposures(r, r.startedAt, c.now.Mono),
		})
	}
	if g.unfinished <= 1 && len(g.endedRuns) > 0 {
		for _, s := range interference.Samples(g.id(), g.endedRuns) {
			c.interference.model.Observe(g.profile(), s)
		}
		g.endedRuns = nil
	}
	r.worker.rememberRun(r, c.now.Mono)
}

// isComparable reports whether the duration of a run shows how fast its worker ran it.
func isComparable(r *run) bool {
	s := r.unit.group.step
	near := s.DataRack == "" || r.worker.Rack == s.DataRack
	return near && !s.Gang && !s.LongRunning && !r.resumed && r.paceSetAt == 0 && r.worker.knowsPastSince(r.startedAt)
}

// sampleLatency takes the evidence of a serving task's listed tail latency.
func (c *Core) sampleLatency(r *run) {
	if c.interference.model == nil || r.unit == nil || r.state != runRunning || r.measurement <= 0 {
		return
	}
	g, now := r.unit.group, c.now.Mono
	if g.step.LatencyTargetMS == 0 || now-r.startedAt < latencyWindow || now-r.latencySampledAt < latencyInterval {
		return
	}
	r.latencySampledAt = now
	ofTarget := float64(r.measurement) / float64(g.step.LatencyTargetMS)
	present := r.worker.exposures(r, now-latencyWindow, now)
	c.interference.model.Observe(g.profile(), interference.Latency(now, g.id(), string(r.worker.ID), ofTarget, present))
}

// judgeInterference reviews the evidence and reports the pairs that have changed.
func (c *Core) judgeInterference() {
	s := &c.interference
	if s.model == nil || c.now.Mono < s.nextJudge {
		return
	}
	s.nextJudge = c.now.Mono + lag.ReviewInterval(len(c.fleet), judgeInterval)
	for _, change := range s.model.Judge(c.now.Mono) {
		c.emit(PairChanged{change})
	}
}

// isDisturbed reports whether a task of the group and one on the worker would slow each
// other down.
func (c *Core) isDisturbed(w *worker, g *taskGroup) bool {
	if c.interference.model == nil || c.interference.ignored {
		return false
	}
	conflicts := c.interference.model.Conflicts(g.profile())
	if len(conflicts) == 0 {
		return false
	}
	return slices.ContainsFunc(w.runs, func(r *run) bool {
		return r.unit != nil && slices.Contains(conflicts, r.unit.group.profile())
	})
}

// countDisturbed returns the number of workers chosen for a gang on which it would be
// disturbed. The members on one worker are adjacent.
func (c *Core) countDisturbed(workers []*worker, g *taskGroup) int {
	n := 0
	for i, w := range workers {
		if (i == 0 || workers[i-1] != w) && c.isDisturbed(w, g) {
			n++
		}
	}
	return n
}

// findWorkersApart is findWorkers, and reports if interference has changed the choice.
func (c *Core) findWorkersApart(p *pass, g *rankedGroup, u *unit) []*worker {
	planned := u.plan != nil
	on := c.findWorkers(p, g, u)
	if on == nil || planned || c.interference.model == nil || len(c.interference.model.Conflicts(g.profile())) == 0 {
		return on
	}
	c.interference.ignored = true
	without := c.findWorkers(p, g, u)
	c.interference.ignored = false
	if !slices.Equal(on, without) {
		c.emit(PlacedApart{})
	}
	return on
}

// inOneRack reports whether all the workers are in one rack. Only within a rack does
// interference change how a gang is packed, or it might be spread over more of them.
func inOneRack(workers []*worker) bool {
	return !slices.ContainsFunc(workers, func(w *worker) bool { return w.Rack != workers[0].Rack })
}

// addInterference adds the pairs that slow each other down to an overview.
func (c *Core) addInterference(out *overview.Cell) {
	if c.interference.model == nil {
		return
	}
	for _, p := range c.interference.model.Pairs() {
		out.Interference = append(out.Interference, overview.Interference{
			Victim: p.Victim, Neighbour: p.Neighbour, Slowdown: p.Slowdown, Error: p.Error, RunsWith: p.With, RunsWithout: p.Without,
		})
	}
}

// interferingPairs returns the number of pairs that slow each other down.
func (c *Core) interferingPairs() int {
	if c.interference.model == nil {
		return 0
	}
	return len(c.interference.model.Pairs())
}
