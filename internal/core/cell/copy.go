package cell

import (
	"maps"
	"slices"

	"coltsfootmux/internal/core/clone"
	"coltsfootmux/internal/core/predict"
	"coltsfootmux/internal/core/retry"
	"coltsfootmux/internal/core/speed"
)

// copier copies the decision state of a Core. Each object is copied once, so that the
// copies refer to each other as the originals do. The pointers, maps and slices of a
// copied struct are those of the original until its fix function has replaced them.
// Jobs, policies and labels are never modified and stay shared. A pointer, map or slice
// that is shared by mistake fails TestCopySharesNothing, which holds the list of what is
// shared on purpose.
type copier struct {
	entries     clone.Copies[jobEntry]
	occurrences clone.Copies[occurrence]
	groups      clone.Copies[taskGroup]
	units       clone.Copies[unit]
	plans       clone.Copies[plan]
	runs        clone.Copies[run]
	workers     clone.Copies[worker]
	pools       clone.Copies[retry.Pool]
	queues      clone.Copies[predict.Queue]
	speeds      clone.Copies[speed.Worker]
	speedPools  clone.Copies[speedPool]
}

// copy returns a copy of the core that steps like the original. Nothing that is done
// to one changes the other. The actions of the last step are not copied.
func (c *Core) copy() *Core {
	k := &copier{}
	out := *c
	k.fixCore(&out)
	for k.fixMade() {
	}
	return &out
}

// fixMade fixes the copies that were made so far. It reports whether there were any; a
// fix may make further ones.
func (k *copier) fixMade() bool {
	n := k.entries.Fix(k.fixEntry) + k.occurrences.Fix(k.fixOccurrence) + k.groups.Fix(k.fixGroup) + k.units.Fix(k.fixUnit) +
		k.plans.Fix(k.fixPlan) + k.runs.Fix(k.fixRun) + k.workers.Fix(k.fixWorker) + k.pools.Fix(fixPool) + k.speedPools.Fix(fixSpeedPool)
	return n > 0
}

func (k *copier) fixCore(c *Core) {
	c.actions, c.trace = nil, nil
	c.drained = maps.Clone(c.drained)
	c.jobs = clone.Values(c.jobs, &k.entries)
	c.openJobs = clone.Slice(c.openJobs, &k.entries)
	c.workers = clone.Values(c.workers, &k.workers)
	c.fleet = clone.Slice(c.fleet, &k.workers)
	c.failuresByPool = clone.Values(c.failuresByPool, &k.pools)
	c.crashes = c.crashes.Clone()
	c.crashedAddrs = maps.Clone(c.crashedAddrs)
	c.runTimesByQueue = clone.Values(c.runTimesByQueue, &k.queues)
	c.batchJobs = clone.Slice(c.batchJobs, &k.entries)
	c.batchEnds = clone.Keys(c.batchEnds, &k.workers)
	c.batchRoster = clone.Slice(c.batchRoster, &k.workers)
	c.dirtyJobs = clone.Slice(c.dirtyJobs, &k.entries)
	c.endedJobs = clone.Slice(c.endedJobs, &k.entries)
	c.cancels = maps.Clone(c.cancels)
	c.claimedPools = maps.Clone(c.claimedPools)
	c.speeds.byMachine = clone.Values(c.speeds.byMachine, &k.speeds)
	c.speeds.pools = clone.Values(c.speeds.pools, &k.speedPools)
	c.speeds.stored = maps.Clone(c.speeds.stored)
	c.shares.accounts = c.shares.accounts.Clone()
	c.interference.model = c.interference.model.Clone()
	if c.missing != nil {
		m := *c.missing
		c.missing = &m
	}
}

func (k *copier) fixWorker(w *worker) {
	w.runs = clone.Slice(w.runs, &k.runs)
	w.blamed = clone.Slice(w.blamed, &k.runs)
	w.vacatedFor = k.units.Of(w.vacatedFor)
	w.cooldowns = slices.Clone(w.cooldowns)
	w.deferredEnds = slices.Clone(w.deferredEnds)
	w.failedJobs = maps.Clone(w.failedJobs)
	w.plannedTasks = clone.Keys(w.plannedTasks, &k.groups)
	w.pastRuns.stays = slices.Clone(w.pastRuns.stays)
}

func (k *copier) fixRun(r *run) {
	r.unit = k.units.Of(r.unit)
	r.worker = k.workers.Of(r.worker)
}

func (k *copier) fixEntry(e *jobEntry) {
	e.occurrences = clone.Slice(e.occurrences, &k.occurrences)
	e.doneOccurrences, e.openedAhead = slices.Clone(e.doneOccurrences), maps.Clone(e.openedAhead)
	e.raisedAlarms = maps.Clone(e.raisedAlarms)
	e.poolFailures = k.pools.Of(e.poolFailures)
	e.runTimes = k.queues.Of(e.runTimes)
}

func (k *copier) fixOccurrence(o *occurrence) {
	o.entry = k.entries.Of(o.entry)
	o.groups = clone.Slice(o.groups, &k.groups)
}

func (k *copier) fixGroup(g *taskGroup) {
	g.occ = k.occurrences.Of(g.occ)
	g.units = clone.Slice(g.units, &k.units)
	g.tickets = maps.Clone(g.tickets)
	g.deniedUntil = maps.Clone(g.deniedUntil)
	g.speeds = g.speeds.Clone(k.speeds.Of)
	g.endedRuns = slices.Clone(g.endedRuns)
}

func (k *copier) fixUnit(u *unit) {
	u.group = k.groups.Of(u.group)
	u.failedRuns = slices.Clone(u.failedRuns)
	u.crashes, u.startCrashes = maps.Clone(u.crashes), maps.Clone(u.startCrashes)
	u.runs = clone.Slice(u.runs, &k.runs)
	u.excludedUntil = maps.Clone(u.excludedUntil)
	u.plan = k.plans.Of(u.plan)
}

func (k *copier) fixPlan(p *plan) { p.on = clone.Slice(p.on, &k.workers) }

func fixPool(p *retry.Pool) { *p = p.Clone() }

func fixSpeedPool(p *speedPool) { p.estimates = slices.Clone(p.estimates) }
