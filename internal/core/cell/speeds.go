package cell

import (
	"time"

	"coltsfootmux/internal/core/lag"
	"coltsfootmux/internal/core/speed"
	"coltsfootmux/internal/external"
)

const (
	// speedInterval is the time between two computations of the pools' speeds.
	speedInterval = 300 * time.Millisecond
	// minSpeedProgress is the progress in percent from which a run shows its worker's speed,
	// as progress is listed in whole percents; minSampleProgress that from which it is
	// compared with.
	minSpeedProgress  = 20
	minSampleProgress = 10
	// progressShare is the share of a run's evidence that its progress gives.
	progressShare = 0.7
)

// speeds is what the cell knows of the speeds of its workers.
type speeds struct {
	// byMachine holds the workers' estimates by machine; see worker.speedKey.
	byMachine map[string]*speed.Worker
	pools     map[string]*speedPool
	// stored holds the factors in percent of the last roster.
	stored map[string]int
	// nextRefresh and nextStore are the times of the next computation and the earliest next
	// roster that is written because of factors.
	nextRefresh, nextStore time.Duration
}

// speedPool is what is known of the speeds of a pool's workers.
type speedPool struct {
	speed.Pool
	estimates []speed.Estimate
	// factors holds the mean factor of each class's workers, 0 for an empty class.
	factors [speed.Classes]float64
}

// SpeedsDiffer reports that placement begins or ceases to take the speeds of a pool's
// workers into account, for the log.
type SpeedsDiffer struct {
	Pool string
	// Open is set when it begins.
	Open  bool
	Ratio float64
	// Fast and Slow count the workers of these classes, Known those with known factors.
	Fast, Slow, Known int
}

// WorkerSpeedLearned reports that a worker's class has changed, for the log.
type WorkerSpeedLearned struct {
	Worker external.WorkerID
	// Factor is the time factor relative to the pool's median, Error the standard error of
	// its logarithm, Runs the number of runs that showed it.
	Factor, Error float64
	Runs          int
}

func (SpeedsDiffer) action()       {}
func (WorkerSpeedLearned) action() {}

// learnsSpeeds reports whether the speeds of workers are learned at all.
func (c *Core) learnsSpeeds() bool { return c.settings.WorkerSpeedRatio > 0 }

// speedKey names what has the worker's speed: its machine, or itself if it names none.
func (w *worker) speedKey() string {
	if w.Machine != "" {
		return w.Machine
	}
	return string(w.ID)
}

// speedOf returns the estimate of a worker's factor.
func (c *Core) speedOf(w *worker) *speed.Worker {
	if c.speeds.byMachine == nil {
		c.speeds.byMachine = make(map[string]*speed.Worker)
	}
	s := c.speeds.byMachine[w.speedKey()]
	if s == nil {
		s = &speed.Worker{}
		c.speeds.byMachine[w.speedKey()] = s
	}
	return s
}

// showsSpeed reports whether a run's duration is that of its worker and its task alone.
func (r *run) showsSpeed() bool {
	if r.unit == nil || r.startedAt == 0 || r.resumed || r.paceSetAt != 0 {
		return false
	}
	s := r.unit.group.step
	return !s.Gang && !s.LongRunning && (s.DataRack == "" || s.DataRack == r.worker.Rack)
}

// learnFromProgress takes a running run's listed progress as evidence of its worker's
// speed.
func (c *Core) learnFromProgress(r *run) {
	if !c.learnsSpeeds() || r.state != runRunning || r.percent < minSampleProgress || r.percent >= 100 || !r.showsSpeed() {
		return
	}
	// A percent is listed once it is complete; the middle of the next one is the best guess.
	d := time.Duration(float64(c.now.Mono-r.startedAt) * 100 / (float64(r.percent) + 0.5))
	r.unit.group.speeds.Record(r.unit.index, d, c.speedOf(r.worker))
	if r.percent >= minSpeedProgress && r.speedShare == 0 {
		c.learnSpeed(r, d, progressShare)
	}
}

// learnFromEnd takes a run that has ended well as evidence of its worker's speed.
func (c *Core) learnFromEnd(r *run) {
	if !c.learnsSpeeds() || !r.showsSpeed() {
		return
	}
	d := c.now.Mono - r.startedAt
	r.unit.group.speeds.Record(r.unit.index, d, c.speedOf(r.worker))
	c.learnSpeed(r, d, 1)
}

// learnSpeed adds a run's evidence up to the given share.
func (c *Core) learnSpeed(r *run, d time.Duration, upTo float64) {
	g := r.unit.group
	e, ok := g.speeds.Compare(c.now.Mono, r.unit.index, g.startedCount())
	if g.step.Count == 1 {
		p := g.occ.entry.predictRunTime(g.step)
		e, ok = speed.CompareWith(d, p.Middle(), p.Deviation())
	}
	if !ok || r.speedShare >= upTo {
		return
	}
	w := c.speedOf(r.worker)
	if r.speedShare == 0 {
		w.CountRun()
	}
	e.Share = upTo - r.speedShare
	r.speedShare = upTo
	w.Add(c.now.Mono, e)
}

// startedCount returns the number of the group's units that have run or are running.
func (g *taskGroup) startedCount() int {
	n := 0
	for _, u := range g.units {
		if u.state != unitWaiting {
			n++
		}
	}
	return n
}

// refreshSpeeds recomputes the pools' speeds and the workers' classes.
func (c *Core) refreshSpeeds() {
	now := c.now.Mono
	if !c.learnsSpeeds() || now < c.speeds.nextRefresh {
		return
	}
	c.speeds.nextRefresh = now + lag.ReviewInterval(len(c.fleet), speedInterval)
	for _, p := range c.speeds.pools {
		p.estimates = p.estimates[:0]
	}
	inUse := make(map[string]bool, len(c.fleet))
	var names []string
	for _, w := range c.fleet {
		inUse[w.speedKey()] = true
		p := c.speedPool(w.Pool)
		if len(p.estimates) == 0 {
			names = append(names, w.Pool)
		}
		w.speed = c.speedOf(w).Estimate(now)
		p.estimates = append(p.estimates, w.speed)
	}
	for key, s := range c.speeds.byMachine {
		if !inUse[key] && s.Forgotten(now) {
			delete(c.speeds.byMachine, key)
		}
	}
	for _, name := range names {
		c.refreshPoolSpeeds(name)
	}
	c.storeSpeeds()
}

func (c *Core) speedPool(name string) *speedPool {
	p := c.speeds.pools[name]
	if p == nil {
		p = &speedPool{}
		if c.speeds.pools == nil {
			c.speeds.pools = make(map[string]*speedPool)
		}
		c.speeds.pools[name] = p
	}
	return p
}

// refreshPoolSpeeds recomputes a pool's gate and the classes of its workers.
func (c *Core) refreshPoolSpeeds(name string) {
	p := c.speedPool(name)
	changed := p.Update(p.estimates, c.settings.WorkerSpeedRatio)
	var counts [speed.Classes]int
	p.factors = [speed.Classes]float64{}
	for _, w := range c.fleet {
		if w.Pool != name {
			continue
		}
		class := p.ClassOf(w.speed, w.speedClass())
		w.slowness = p.Relative(w.speed)
		if class != w.speedClass() {
			w.class = class - speed.Usual
			if p.Open {
				c.emit(WorkerSpeedLearned{Worker: w.ID, Factor: w.slowness, Error: w.speed.Error, Runs: w.speed.Runs})
			}
		}
		counts[class]++
		p.factors[class] += w.slowness
	}
	for class, n := range counts {
		if n > 0 {
			p.factors[class] /= float64(n)
		}
	}
	if changed {
		c.placementDue = true
		c.emit(SpeedsDiffer{Pool: name, Open: p.Open, Ratio: p.Ratio, Fast: counts[speed.Fast], Slow: counts[speed.Slow], Known: p.Known})
	}
}

// speedClass returns the worker's class.
func (w *worker) speedClass() speed.Class { return speed.Usual + w.class }

// timeFactor returns how long work takes on the worker relative to a usual one of its pool;
// 1 unless the pool's workers are known to differ.
func (w *worker) timeFactor() float64 {
	if w.slowness == 0 {
		return 1
	}
	return w.slowness
}

// timeFactor returns the time factor of a run: that of its worker, or of the slowest worker
// of its gang.
func (r *run) timeFactor() float64 {
	out := r.worker.timeFactor()
	if r.unit != nil && r.unit.group.step.Gang {
		for _, m := range r.unit.runs {
			out = max(out, m.worker.timeFactor())
		}
	}
	return out
}

// scaled returns a duration multiplied by a factor.
func scaled(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// Speeds is a summary of the workers' speeds for metrics.
type Speeds struct {
	// Ratio is the largest ratio of slow to fast workers of any pool, 1 if none is known.
	Ratio float64
	// Known is the number of workers whose factors are known.
	Known int
}

// Speeds returns the summary.
func (c *Core) Speeds() Speeds {
	out := Speeds{Ratio: 1}
	for _, p := range c.speeds.pools {
		out.Ratio = max(out.Ratio, p.Ratio)
		out.Known += p.Known
	}
	return out
}

// speedPercent returns a worker's speed in percent of the usual one of its pool, 0 if it is
// not known.
func (c *Core) speedPercent(w *worker) int {
	p := c.speeds.pools[w.Pool]
	if p == nil || !w.speed.Known() || w.speed.Runs == 0 {
		return 0
	}
	return int(100/p.FromMedian(w.speed) + 0.5)
}
