package cell

import (
	"maps"
	"slices"

	"coltsfootmux/internal/core/predict"
	"coltsfootmux/internal/core/retry"
)

// copier copies the decision state of a Core. Each object is copied once, so that the
// copies refer to each other as the originals do. The pointers, maps and slices of a
// copied struct are those of the original until its fix function has replaced them.
// Jobs, policies and labels are never modified and stay shared. A pointer, map or slice
// that is shared by mistake fails TestCopySharesNothing, which holds the list of what is
// shared on purpose.
type copier struct {
	entries     map[*jobEntry]*jobEntry
	occurrences map[*occurrence]*occurrence
	groups      map[*taskGroup]*taskGroup
	units       map[*unit]*unit
	plans       map[*plan]*plan
	runs        map[*run]*run
	workers     map[*worker]*worker
	pools       map[*retry.Pool]*retry.Pool
	queues      map[*predict.Queue]*predict.Queue
	// todo holds the fixes that are left; a queue instead of recursion, as chains of
	// runs, units and workers are as long as the cell is large.
	todo []func()
}

// copy returns a copy of the core that steps like the original. Nothing that is done
// to one changes the other. The actions of the last step are not copied.
func (c *Core) copy() *Core {
	k := &copier{
		entries: make(map[*jobEntry]*jobEntry, len(c.jobs)), occurrences: make(map[*occurrence]*occurrence, len(c.jobs)),
		groups: make(map[*taskGroup]*taskGroup, len(c.jobs)), units: make(map[*unit]*unit, len(c.jobs)),
		plans: make(map[*plan]*plan), runs: make(map[*run]*run, len(c.fleet)), workers: make(map[*worker]*worker, len(c.fleet)),
		pools: make(map[*retry.Pool]*retry.Pool), queues: make(map[*predict.Queue]*predict.Queue),
	}
	out := *c
	k.fixCore(&out)
	for len(k.todo) > 0 {
		last := len(k.todo) - 1
		fix := k.todo[last]
		k.todo = k.todo[:last]
		fix()
	}
	return &out
}

func (k *copier) fixCore(c *Core) {
	c.actions, c.trace = nil, nil
	c.drained = maps.Clone(c.drained)
	c.jobs = copyValues(c.jobs, k.entry)
	c.openJobs = copySlice(c.openJobs, k.entry)
	c.workers = copyValues(c.workers, k.worker)
	c.fleet = copySlice(c.fleet, k.worker)
	c.failuresByPool = copyValues(c.failuresByPool, k.pool)
	c.crashes = c.crashes.Clone()
	c.crashedAddrs = maps.Clone(c.crashedAddrs)
	c.runTimesByQueue = copyValues(c.runTimesByQueue, k.queue)
	c.batchJobs = copySlice(c.batchJobs, k.entry)
	c.batchEnds = copyKeys(c.batchEnds, k.worker)
	c.batchRoster = copySlice(c.batchRoster, k.worker)
	c.dirtyJobs = copySlice(c.dirtyJobs, k.entry)
	c.endedJobs = copySlice(c.endedJobs, k.entry)
	c.cancels = maps.Clone(c.cancels)
	if c.missing != nil {
		m := *c.missing
		c.missing = &m
	}
}

func (k *copier) worker(from *worker) *worker { return copyOnce(k, k.workers, from, k.fixWorker) }

func (k *copier) fixWorker(w *worker) {
	w.runs = copySlice(w.runs, k.run)
	w.blamed = copySlice(w.blamed, k.run)
	w.vacatedFor = k.unit(w.vacatedFor)
	w.cooldowns = slices.Clone(w.cooldowns)
	w.deferredEnds = slices.Clone(w.deferredEnds)
	w.failedJobs = maps.Clone(w.failedJobs)
	w.plannedTasks = copyKeys(w.plannedTasks, k.group)
}

func (k *copier) run(from *run) *run { return copyOnce(k, k.runs, from, k.fixRun) }

func (k *copier) fixRun(r *run) {
	r.unit = k.unit(r.unit)
	r.worker = k.worker(r.worker)
}

func (k *copier) entry(from *jobEntry) *jobEntry { return copyOnce(k, k.entries, from, k.fixEntry) }

func (k *copier) fixEntry(e *jobEntry) {
	e.occurrences = copySlice(e.occurrences, k.occurrence)
	e.doneOccurrences = maps.Clone(e.doneOccurrences)
	e.raisedAlarms = maps.Clone(e.raisedAlarms)
	e.poolFailures = k.pool(e.poolFailures)
	e.runTimes = k.queue(e.runTimes)
}

func (k *copier) occurrence(from *occurrence) *occurrence {
	return copyOnce(k, k.occurrences, from, func(o *occurrence) {
		o.entry = k.entry(o.entry)
		o.groups = copySlice(o.groups, k.group)
	})
}

func (k *copier) group(from *taskGroup) *taskGroup {
	return copyOnce(k, k.groups, from, func(g *taskGroup) {
		g.occ = k.occurrence(g.occ)
		g.units = copySlice(g.units, k.unit)
		g.tickets = maps.Clone(g.tickets)
		g.deniedUntil = maps.Clone(g.deniedUntil)
	})
}

func (k *copier) unit(from *unit) *unit { return copyOnce(k, k.units, from, k.fixUnit) }

func (k *copier) fixUnit(u *unit) {
	u.group = k.group(u.group)
	u.failedRuns = slices.Clone(u.failedRuns)
	u.crashes = maps.Clone(u.crashes)
	u.runs = copySlice(u.runs, k.run)
	u.excludedUntil = maps.Clone(u.excludedUntil)
	u.plan = copyOnce(k, k.plans, u.plan, func(p *plan) { p.on = copySlice(p.on, k.worker) })
}

func (k *copier) pool(from *retry.Pool) *retry.Pool {
	return copyOnce(k, k.pools, from, func(p *retry.Pool) { *p = p.Clone() })
}

func (k *copier) queue(from *predict.Queue) *predict.Queue {
	return copyOnce(k, k.queues, from, func(*predict.Queue) {})
}

// copyOnce returns the copy of from, which it makes at the first call. fix is called
// later with the copy.
func copyOnce[T any](k *copier, made map[*T]*T, from *T, fix func(*T)) *T {
	if from == nil {
		return nil
	}
	if to, ok := made[from]; ok {
		return to
	}
	to := new(T)
	*to = *from
	made[from] = to
	k.todo = append(k.todo, func() { fix(to) })
	return to
}

func copySlice[T any](from []*T, copyOf func(*T) *T) []*T {
	if from == nil {
		return nil
	}
	to := make([]*T, len(from))
	for n, v := range from {
		to[n] = copyOf(v)
	}
	return to
}

func copyValues[K comparable, T any](from map[K]*T, copyOf func(*T) *T) map[K]*T {
	if from == nil {
		return nil
	}
	to := make(map[K]*T, len(from))
	for key, v := range from {
		to[key] = copyOf(v)
	}
	return to
}

func copyKeys[T, V any](from map[*T]V, copyOf func(*T) *T) map[*T]V {
	if from == nil {
		return nil
	}
	to := make(map[*T]V, len(from))
	for key, v := range from {
		to[copyOf(key)] = v
	}
	return to
}
