package cell

import (
	"slices"
	"time"
)

// Stragglers are runs that get on much slower than the same step's other
// tasks, which do alike work: their worker is slow.
const (
	// stragglerEvery is how often runs are compared.
	stragglerEvery = 300 * time.Millisecond
	// stragglerAge is the age from which on a run's progress is telling.
	stragglerAge = 600 * time.Millisecond
	// stragglerPart is the part of the usual time from which on it is telling;
	// percents are whole numbers.
	stragglerPart = 0.25
	// stragglerPace is how many times the usual time a run must need to count as
	// one on a slow worker; tasks of a step differ by up to twice.
	stragglerPace = 4.0
	// stragglerFactor is how many times a whole run elsewhere the rest of a run
	// must take for it to be moved.
	stragglerFactor = 1.5
	// stragglerMoves bounds how often one unit is moved for this.
	stragglerMoves = 2
)

// moveStragglers stops the runs that would end sooner if they began anew on
// another worker.
func (c *Core) moveStragglers() {
	if c.now.Mono < c.nextStragglers {
		return
	}
	c.nextStragglers = c.now.Mono + stragglerEvery
	for _, e := range slices.Clone(c.open) {
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
	var whole []time.Duration
	for _, u := range g.units {
		if u.state == unitDone && u.runTime > 0 {
			whole = append(whole, u.runTime)
		}
		for _, r := range u.runs {
			if t, ok := r.whole(); ok {
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
		t, _ := r.whole()
		if r.isStraggler(c.now.Mono, t, usual) {
			c.moveStraggler(r)
		}
	}
}

// isStraggler says whether a run that takes t in all should be moved when the
// usual time is another.
func (r *run) isStraggler(now, t, usual time.Duration) bool {
	age, left := now-r.began, t-(now-r.began)
	return r.state == runRunning && r.unit.moves < stragglerMoves &&
		float64(age) > stragglerPart*float64(usual) &&
		float64(t) > stragglerPace*float64(usual) &&
		float64(left) > stragglerFactor*float64(usual)
}

// whole estimates how long a run takes in all; ok is false while that can't be told.
func (r *run) whole() (d time.Duration, ok bool) {
	age := r.listedAt - r.began
	if r.state != runRunning || r.began == 0 || age < stragglerAge || r.resumed {
		return 0, false
	}
	return age * 100 / time.Duration(max(r.percent, 1)), true
}

func (c *Core) moveStraggler(r *run) {
	r.unit.moves++
	r.unit.exclude(r.worker, c.now.Mono)
	r.worker.suspect(c.now.Mono)
	c.act(WorkerNoted{Worker: r.worker.ID, Note: "suspect: slower than others", Runs: len(r.worker.runs)})
	for _, m := range slices.Clone(r.unit.runs) {
		c.stop(m, ReasonSlow)
	}
}
