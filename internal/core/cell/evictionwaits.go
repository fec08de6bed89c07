package cell

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/evict"
	"coltsfootmux/internal/external"
)

// evictionWait is room that is being made for an urgent unit, in part by runs that are
// left to end by themselves.
type evictionWait struct {
	unit *unit
	plan *plan
	// awaited holds the runs that are left to end since the given time. Those that have
	// not ended at until are stopped.
	awaited []*run
	since   time.Duration
	until   time.Duration
	report  RoomMade
}

// weighsVictims reports whether victims are chosen by what is lost for certain and by
// when they end.
func (c *Core) weighsVictims() bool {
	return c.settings.PreemptionWait > 0 && c.stopTime.Worthwhile()
}

// recordStopTime records how long a preempted run took to stop.
func (c *Core) recordStopTime(r *run, reason external.EndReason) {
	if r.state == runStopping && r.stopReason == ReasonPreempted && reason == external.EndedStopped {
		c.stopTime.Stopped(c.now.Mono - r.stopOrderedAt)
	}
}

// evictionLimit returns how long a unit may wait for runs that end by themselves.
func (c *Core) evictionLimit(g *rankedGroup, u *unit) time.Duration {
	if g.rank.Priority != 0 || !c.weighsVictims() {
		return 0
	}
	work := evict.Urgent{Slack: c.timeUntil(g.rank.DeadlineMS) - g.runTime(), UntilReclaim: time.Hour}
	if c.settings.ReclaimWithin > 0 {
		work.UntilReclaim = c.settings.ReclaimWithin - (c.now.Mono - u.waitingSince)
	}
	limit := c.settings.PreemptionWait
	if u.evictBy > u.waitingSince {
		limit = min(limit, u.evictBy-c.now.Mono)
	}
	return work.Wait(c.stopTime.Mean(), limit)
}

// chooseAwaited splits the victims of an eviction into those that are stopped and those
// that are expected to end about as soon.
func (c *Core) chooseAwaited(g *rankedGroup, u *unit, e *eviction) {
	e.wait = c.evictionLimit(g, u)
	if e.on == nil || e.wait == 0 {
		return
	}
	stopped := e.victims[:0:0]
	for _, r := range e.victims {
		if c.endsWithin(r, e.wait) {
			e.awaited = append(e.awaited, r)
		} else {
			stopped = append(stopped, r)
		}
	}
	e.victims = stopped
}

// beginEviction begins the wait for the runs of an eviction that are not stopped.
func (c *Core) beginEviction(p *pass, u *unit, e *eviction, lost float64) {
	if c.settings.PreemptionWait == 0 {
		return
	}
	w := &evictionWait{unit: u, plan: u.plan, since: c.now.Mono, until: c.now.Mono + e.wait, report: RoomMade{Job: u.entry().job.ID, Victims: len(e.victims), CoreSeconds: lost}}
	for _, r := range e.awaited {
		if r.unit.awaited || r.state != runRunning {
			continue // stopped with its gang
		}
		w.awaited = append(w.awaited, r)
		delete(p.victims, r.worker)
	}
	for _, r := range w.awaited {
		r.unit.awaited = true
		u.evictBy, u.plan.expiresAt = w.until, w.until+planTimeout
	}
	w.report.Awaited = len(w.awaited)
	if len(w.awaited) == 0 {
		c.emit(w.report)
		return
	}
	c.evictionWaits = append(c.evictionWaits, w)
}

// endEvictionWaits ends the waits whose units have started or whose time is over.
func (c *Core) endEvictionWaits() {
	c.evictionWaits = slices.DeleteFunc(c.evictionWaits, c.endEvictionWait)
}

// endEvictionWait reports whether the wait is over. It stops the runs that will not
// end in time, so that they cost the unit no more than the wait.
func (c *Core) endEvictionWait(w *evictionWait) bool {
	planned := w.unit.plan == w.plan && w.unit.state == unitWaiting
	left := w.awaited[:0]
	for _, r := range w.awaited {
		switch {
		case !slices.Contains(r.worker.runs, r) || r.unit.state == unitDone:
			w.report.Avoided++
			r.unit.awaited = false
		case !planned && w.unit.state == unitActive && r.state == runRunning:
			w.report.Avoided++ // the unit has started before the run's end
			r.unit.awaited = false
		case !planned || r.state != runRunning || r.unit.state != unitActive:
			r.unit.awaited = false
		case c.now.Mono >= w.until || !c.endsWithin(r, w.until-c.now.Mono+c.stopTime.Mean()):
			r.unit.awaited = false
			c.evictAwaited(w, r)
		default:
			left = append(left, r)
		}
	}
	w.awaited = left
	if planned && len(left) > 0 {
		return false
	}
	w.report.Wait = c.now.Mono - w.since
	c.emit(w.report)
	return true
}

// evictAwaited stops a run that has not ended in time, with its gang.
func (c *Core) evictAwaited(w *evictionWait, r *run) {
	w.plan.expiresAt = c.now.Mono + planTimeout
	w.report.Victims++
	w.report.CoreSeconds += c.unsavedWork([]*run{r})
	c.preempt(r)
}

// preempt stops a run and its gang.
func (c *Core) preempt(r *run) {
	if c.settings.PreemptionWait > 0 {
		r.unit.evictedWork += c.unsavedWork([]*run{r})
		c.urgentReserve.Preempted(c.now.Mono)
	}
	for _, m := range slices.Clone(r.unit.runs) {
		c.stopRun(m, ReasonPreempted)
	}
}
