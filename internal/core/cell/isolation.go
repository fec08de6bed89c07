package cell

import (
	"time"

	"coltsfootmux/internal/job"
)

const (
	// isolationWait is how long a suspect waits for a worker without other runs. After that
	// it is placed beside others, as the pool may never have room for it alone.
	isolationWait = 6 * time.Second
	// crashMemory is how long a suspect is kept off a worker whose process has crashed, as
	// it may crash again for the same reason of its own.
	crashMemory = 15 * time.Second
	// workersPerVacated is the number of workers for each that may be vacated for a
	// suspect at a time.
	workersPerVacated = 16
)

// isolationPermits reports whether a unit may be placed on a worker as far as suspects are
// concerned: nothing runs beside a suspect, and a suspect runs beside nothing.
func (c *Core) isolationPermits(w *worker, u *unit) bool {
	if w.probationRuns > 0 || w.isVacated() && w.vacatedFor != u {
		return false
	}
	if !u.isSuspect() {
		return true
	}
	if c.now.Mono-u.waitingSince > isolationWait {
		return true
	}
	return len(w.runs) == 0 && w.plannedRoom == (job.Resources{}) && !c.crashedRecently(w)
}

// crashedRecently reports whether a process at the worker's address has crashed lately.
func (c *Core) crashedRecently(w *worker) bool {
	at, ok := c.crashedAddrs[w.Addr]
	return ok && c.now.Mono-at <= crashMemory
}

// vacateWorker has the worker that is free soonest get no new runs, so that a suspect can
// run there alone.
func (c *Core) vacateWorker(p *pass, g *rankedGroup, u *unit) {
	if u.size > 1 || c.hasVacated(u) || c.countVacated() >= max(1, len(c.fleet)/workersPerVacated) {
		return
	}
	var best *worker
	var bestWait time.Duration
	for _, w := range p.pool(g.pool).workers {
		if !w.usable(c.now.Mono) || w.probationRuns > 0 || w.isVacated() || c.crashedRecently(w) ||
			!w.Capacity.Covers(g.step.Resources()) || !c.allowedInCompany(w, g.taskGroup, u) {
			continue
		}
		if wait := c.timeToEmpty(w); best == nil || wait < bestWait {
			best, bestWait = w, wait
		}
	}
	if best != nil {
		best.vacatedFor = u
		c.emit(WorkerStateChanged{Worker: best.ID, Change: "vacated for a task under which a worker has crashed", Runs: len(best.runs)})
	}
}

// isVacated reports whether the worker is kept for a suspect that still waits.
func (w *worker) isVacated() bool {
	u := w.vacatedFor
	return u != nil && u.state == unitWaiting && u.isSuspect() && u.entry().outcome == job.Open
}

// countVacated returns the number of workers that are kept for suspects.
func (c *Core) countVacated() int {
	n := 0
	for _, w := range c.fleet {
		if w.isVacated() {
			n++
		}
	}
	return n
}

// hasVacated reports whether a worker that can be used is kept for the unit.
func (c *Core) hasVacated(u *unit) bool {
	for _, w := range c.fleet {
		if w.vacatedFor == u && w.usable(c.now.Mono) {
			return true
		}
	}
	return false
}

// timeToEmpty returns how long the worker's runs still take.
func (c *Core) timeToEmpty(w *worker) time.Duration {
	out := time.Duration(0)
	for _, r := range w.runs {
		out = max(out, c.timeToEnd(r))
	}
	return out
}

// crashedAddrsKept bounds the addresses that are remembered.
const crashedAddrsKept = 1024

// rememberCrash records the address of a crashed worker.
func (c *Core) rememberCrash(w *worker) {
	if len(c.crashedAddrs) >= crashedAddrsKept {
		clear(c.crashedAddrs)
	}
	c.crashedAddrs[w.Addr] = c.now.Mono
}
