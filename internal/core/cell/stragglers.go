package cell

import (
	"slices"
	"time"
)

// Stragglers are runs that progress much more slowly than the other tasks of the same
// step. As those do similar work, the straggler's worker must be slow.
const (
	// stragglerInterval is the time between two comparisons of runs.
	stragglerInterval = 300 * time.Millisecond
	// stragglerMinAge is the age from which a run's duration can be estimated from its
	// progress.
	stragglerMinAge = 600 * time.Millisecond
	// stragglerMinPart is the fraction of the median duration that a run must have run
	// before it can count as a straggler: progress is listed in whole percents.
	stragglerMinPart = 0.25
	// stragglerSlowdown is the multiple of the median duration above which a run counts
	// as slow; the tasks of a step differ by a factor of up to two.
	stragglerSlowdown = 4.0
	// stragglerMinRemainder is the multiple of the median duration that the rest of a
	// run must exceed for a new run elsewhere to be worthwhile.
	stragglerMinRemainder = 1.5
	// maxStragglerMoves is how many times one unit may be moved as a straggler.
	maxStragglerMoves = 2
)

// moveStragglers stops the runs that would end sooner if they were started again on
// another worker, while that may be ordered.
func (c *Core) moveStragglers() {
	if c.now.Mono < c.nextStragglerCheck || !c.mayStart() {
		return
	}
	c.nextStragglerCheck = c.now.Mono + stragglerInterval
	for _, e := range slices.Clone(c.openJobs) {
		for _, o := range e.occurrences {
			for _, g := range o.groups {
				if g.unfinished > 0 && g.step.Count > 1 && !g.step.LongRunning {
					c.compareRuns(g)
				}
			}
		}
	}
}

// compareRuns looks for stragglers among the runs of a step's tasks.
func (c *Core) compareRuns(g *taskGroup) {
	var runs []*run
	var durations []time.Duration
	for _, u := range g.units {
		if u.state == unitDone && u.runTime > 0 {
			durations = append(durations, u.runTime)
		}
		for _, r := range u.runs {
			if t, ok := r.estimateDuration(); ok {
				runs = append(runs, r)
				durations = append(durations, t)
			}
		}
	}
	if len(runs) == 0 || len(durations) < 2 {
		return
	}
	slices.Sort(durations)
	median := durations[(len(durations)-1)/2]
	for _, r := range runs {
		total, _ := r.estimateDuration()
		if r.isStraggler(c.now.Mono, total, median) {
			c.moveStraggler(r)
		}
	}
}

// isStraggler reports whether a run with the given estimated total duration should
// be moved, given the median of the step's tasks.
func (r *run) isStraggler(now, total, median time.Duration) bool {
	age, left := now-r.startedAt, total-(now-r.startedAt)
	return r.state == runRunning && r.unit.moves < maxStragglerMoves &&
		float64(age) > stragglerMinPart*float64(median) &&
		float64(total) > stragglerSlowdown*float64(median) &&
		float64(left) > stragglerMinRemainder*float64(median)
}

// estimateDuration estimates the run's total duration from its progress; ok is false
// if that is not possible.
func (r *run) estimateDuration() (d time.Duration, ok bool) {
	age := r.listedAt - r.startedAt
	if r.state != runRunning || r.absentSince != 0 || r.startedAt == 0 || age < stragglerMinAge || r.resumed {
		return 0, false
	}
	return age * 100 / time.Duration(max(r.percent, 1)), true
}

// moveStraggler stops all runs of a straggler's unit, which then avoids the worker.
func (c *Core) moveStraggler(r *run) {
	r.unit.moves++
	r.unit.exclude(r.worker, c.now.Mono)
	r.worker.suspect(c.now.Mono)
	c.emit(WorkerStateChanged{Worker: r.worker.ID, Change: "suspect: a run is much slower than others of its step", Runs: len(r.worker.runs)})
	for _, m := range slices.Clone(r.unit.runs) {
		c.stopRun(m, ReasonSlow)
	}
}
