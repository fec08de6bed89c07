package cell

import (
	"slices"
	"time"
)

// Stragglers are runs that get on much slower than the same step's other
// tasks, which do alike work: their worker is slow.
const (
	// stragglerInterval is how often runs are compared.
	stragglerInterval = 300 * time.Millisecond
	// stragglerMinAge is the age from which on a run's progress is telling.
	stragglerMinAge = 600 * time.Millisecond
	// stragglerMinPart is the part of the usual time from which on it is telling;
	// percents are whole numbers.
	stragglerMinPart = 0.25
	// stragglerSlowdown is how many times the usual time a run must need to count as
	// one on a slow worker; tasks of a step differ by up to twice.
	stragglerSlowdown = 4.0
	// stragglerMinRemainder is how many times a whole run elsewhere the rest of a run
	// must take for it to be moved.
	stragglerMinRemainder = 1.5
	// maxStragglerMoves bounds how often one unit is moved for this.
	maxStragglerMoves = 2
)

// moveStragglers stops the runs that would end sooner if they began anew on
// another worker.
func (c *Core) moveStragglers() {
	if c.now.Mono < c.nextStragglerCheck {
		return
	}
	c.nextStragglerCheck = c.now.Mono + stragglerInterval
	for _, e := range slices.Clone(c.openJobs) {
		for _, o := range e.occs {
			for _, g := range o.groups {
				if g.left > 0 && g.step.Count > 1 && !g.step.LongRunning {
					c.compareRuns(g)
				}
			}
		}
	}
}

// compareRuns looks for stragglers among the runs of a step's tasks.
func (c *Core) compareRuns(g *group) {
	var runs []*run
	var whole []time.Duration
	for _, u := range g.units {
		if u.state == unitDone && u.took > 0 {
			whole = append(whole, u.took)
		}
		for _, r := range u.runs {
			if t, ok := r.estimateDuration(); ok {
				runs = append(runs, r)
				whole = append(whole, t)
			}
		}
	}
	if len(runs) == 0 || len(whole) < 2 {
		return
	}
	slices.Sort(whole)
	usual := whole[(len(whole)-1)/2]
	for _, r := range runs {
		t, _ := r.estimateDuration()
		if r.isStraggler(c.now.Mono, t, usual) {
			c.moveStraggler(r)
		}
	}
}

// isStraggler says whether a run that takes t in all should be moved when the
// usual time is another.
func (r *run) isStraggler(now, t, usual time.Duration) bool {
	age, left := now-r.startedAt, t-(now-r.startedAt)
	return r.state == runRunning && r.unit.moves < maxStragglerMoves &&
		float64(age) > stragglerMinPart*float64(usual) &&
		float64(t) > stragglerSlowdown*float64(usual) &&
		float64(left) > stragglerMinRemainder*float64(usual)
}

// estimateDuration estimates how long a run takes in all; ok is false while that can't be told.
func (r *run) estimateDuration() (d time.Duration, ok bool) {
	age := r.listedAt - r.startedAt
	if r.state != runRunning || r.startedAt == 0 || age < stragglerMinAge || r.resumed {
		return 0, false
	}
	return age * 100 / time.Duration(max(r.percent, 1)), true
}

func (c *Core) moveStraggler(r *run) {
	r.unit.moves++
	r.unit.shun(r.worker, c.now.Mono)
	r.worker.suspect(c.now.Mono)
	c.emit(WorkerStateChanged{Worker: r.worker.ID, Note: "suspect: slower than others", Runs: len(r.worker.runs)})
	for _, m := range slices.Clone(r.unit.runs) {
		c.stopRun(m, ReasonSlow)
	}
}
