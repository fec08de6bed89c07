package cell

import (
	"time"

	"coltsfootmux/internal/external"
)

const (
	// recentAnswer is how long after its last answer a worker counts as one that was lately
	// tried. Workers with runs answer at least every maxHoldWait.
	recentAnswer = 5 * time.Second
	// SilentShare divides the number of the workers that were lately tried to give that of silent
	// ones from which on an owner may be at fault, and not the workers.
	SilentShare = 4
	// reachCheckInterval is how often the silent workers are counted for the alarm.
	reachCheckInterval = time.Second
)

// Reach is an owner's own view of how many workers it reaches.
type Reach struct {
	// Tried counts the listed workers that have answered lately or don't answer, Silent those of
	// them that don't.
	Tried  int
	Silent int
}

// Poor reports whether so many workers are silent that the owner itself may be cut off.
func (r Reach) Poor() bool { return r.Silent > 0 && r.Silent*SilentShare >= r.Tried }

// Reach returns the present state of the contact with workers. Idle workers are not asked
// anything: they count for a while after their last answer, and if they have answered since the
// latest worker became silent.
func (c *Core) Reach(now time.Duration) Reach {
	var r Reach
	since := now - recentAnswer
	if latest := c.latestSilence(); latest > 0 {
		since = min(since, latest)
	}
	for _, w := range c.fleet {
		switch {
		case !w.listed || w.gone:
		case w.holdFailures > 0:
			r.Tried++
			r.Silent++
		case w.lastAnswerAt > 0 && w.lastAnswerAt >= since:
			r.Tried++
		}
	}
	return r
}

// latestSilence returns since when the worker is silent that became so last, 0 if none is.
func (c *Core) latestSilence() time.Duration {
	var at time.Duration
	for _, w := range c.fleet {
		if w.listed && !w.gone && w.holdFailures > 0 {
			at = max(at, w.firstHoldFailureAt)
		}
	}
	return at
}

// checkReach raises an alarm once many workers have been silent for minShortageTime.
func (c *Core) checkReach() {
	now := c.now.Mono
	if now < c.reach.nextCheck {
		return
	}
	c.reach.nextCheck = now + reachCheckInterval
	r := c.Reach(now)
	switch {
	case !r.Poor():
		c.reach.poorSince, c.reach.reported = 0, false
	case c.reach.poorSince == 0:
		c.reach.poorSince = now
	case !c.reach.reported && now-c.reach.poorSince >= minShortageTime:
		c.reach.reported = true
		c.emit(Alarm{Code: AlarmWorkersUnreached, Have: r.Tried - r.Silent, Need: r.Tried})
	}
}

// reachState is when the contact with workers was last checked, and since when it is poor, or 0.
type reachState struct {
	nextCheck time.Duration
	poorSince time.Duration
	reported  bool
}

// DueWait returns how long the longest waiting task has been ready while a worker of its pool had
// room for it, silent workers included; 0 if there is none.
func (c *Core) DueWait(now time.Duration) time.Duration {
	longest, fits := time.Duration(0), make(map[demand]bool)
	for _, e := range c.openJobs {
		for _, o := range e.occurrences {
			for _, g := range o.groups {
				if !g.ready || g.unfinished == 0 {
					continue
				}
				if since, ok := g.waitingSince(); ok && now-since > longest && c.hasRoom(g, fits) {
					longest = now - since
				}
			}
		}
	}
	return longest
}

// Sample returns up to limit listed workers, evenly spaced in the order of their IDs.
func (c *Core) Sample(limit int) []external.Worker {
	var listed []external.Worker
	for _, w := range c.fleet {
		if w.listed && !w.gone {
			listed = append(listed, w.Worker)
		}
	}
	if len(listed) <= limit {
		return listed
	}
	out := make([]external.Worker, limit)
	for n := range out {
		out[n] = listed[n*len(listed)/limit]
	}
	return out
}

// waitingSince returns since when the group's longest waiting unit waits; ok is false if none does.
func (g *taskGroup) waitingSince() (since time.Duration, ok bool) {
	for _, u := range g.units {
		if u.state == unitWaiting && (!ok || u.waitingSince < since) {
			since, ok = u.waitingSince, true
		}
	}
	return since, ok
}

// hasRoom reports whether a worker has room for a task of the group. It keeps its results in known.
func (c *Core) hasRoom(g *taskGroup, known map[demand]bool) bool {
	pool := g.occ.entry.job.Queue.Pool
	d := demand{pool: pool, resources: g.step.Resources(), label: g.step.Label, urgent: g.priority() == 0}
	found, ok := known[d]
	if !ok {
		found = c.anyFits(d, g.priority())
		known[d] = found
	}
	return found
}

func (c *Core) anyFits(d demand, priority int) bool {
	for _, w := range c.fleet {
		if !w.listed || w.gone || w.Pool != d.pool || w.Draining || w.placeDrained {
			continue
		}
		if w.available(priority).Covers(d.resources) && (d.label == "" || w.hasLabel(d.label)) {
			return true
		}
	}
	return false
}
