package placement

import (
	"coltsfootmux/internal/platform"
)

// lostAfter is the number of lease times to live after which the leases of a
// silent worker have lapsed for certain.
const lostAfter = 3

// workerSeen takes a worker out of use or back into it.
func (c *Core) workerSeen(e WorkerSeen) {
	w, ok := c.workers[e.Worker]
	if !ok || (w.down == !e.Up && w.leaving == e.Leaving) {
		return
	}
	if !w.down && !e.Up {
		w.downSince = c.now
		c.after(lostAfter*c.conf.def.LeaseTTL.D(), timer{kind: timerLost, worker: w.id})
	}
	w.down = !e.Up
	w.leaving = e.Leaving
	if !w.usable() {
		c.replan(w)
	}
	c.resettle(w.cell)
	if w.usable() {
		c.free(w.cell)
	}
}

// replan sends jobs that waited for room on a lost worker back to the queue.
func (c *Core) replan(w *worker) {
	for _, j := range append([]*job(nil), w.planned...) {
		if j.state != jobReclaiming {
			continue
		}
		c.dropPlan(j)
		c.enqueueSince(j, j.queuedAt)
	}
}

// workerLost ends the tasks of a worker whose leases have all lapsed.
func (c *Core) workerLost(t timer) {
	w, ok := c.workers[t.worker]
	if !ok || !w.down || w.downSince.Add(lostAfter*c.conf.def.LeaseTTL.D()).After(c.now) {
		return
	}
	for _, k := range append([]*task(nil), w.tasks...) {
		if _, live := c.tasks[k.lease]; !live || k.job.state != jobRunning {
			continue
		}
		c.taskEnded(k, platform.Ending{
			Lease: k.lease, State: platform.EndLapsed,
			Label: platform.Label{Key: k.job.work.Key, Member: k.member},
		})
	}
}

// State names of workers in views.
const (
	stateUp      = "up"
	stateDown    = "down"
	stateLeaving = "leaving"
	stateDrained = "drained"
	stateAside   = "set_aside"
)

func (w *worker) state() string {
	switch {
	case w.down:
		return stateDown
	case w.leaving:
		return stateLeaving
	case w.drained:
		return stateDrained
	case w.health.aside:
		return stateAside
	}
	return stateUp
}
