package cell

import (
	"slices"
	"time"

	"coltsfootmux/internal/job"
)

// markDirty notes that a job's progress has to be made durable.
func (c *Core) markDirty(e *entry) {
	if e.dirty {
		return
	}
	e.dirty = true
	c.dirtyJobs = append(c.dirtyJobs, e)
}

// endPosition is the number of an end in one life of a worker.
type endPosition struct {
	incarnation int
	number      int64
}

// persist sends the progress that has changed, one batch at a time. A batch
// also covers every end taken in so far, so that they may be acknowledged.
func (c *Core) persist() {
	if c.batchInFlight != 0 {
		return
	}
	if c.now.Mono < c.nextPersist && (len(c.dirtyJobs) > 0 || c.rosterDirty) {
		return
	}
	forget := c.removeExpiredJobs()
	if len(c.dirtyJobs) == 0 && len(forget) == 0 && !c.rosterDirty {
		c.acknowledgeAll()
		return
	}
	c.nextPersist = c.now.Mono + persistEvery
	c.lastBatch++
	c.batchInFlight = c.lastBatch
	p := Persist{Batch: c.batchInFlight, Forget: forget}
	for _, e := range c.dirtyJobs {
		e.dirty = false
		p.Progress = append(p.Progress, JobProgress{ID: e.job.ID, Progress: e.progress()})
	}
	if c.rosterDirty {
		c.rosterDirty = false
		p.Roster, c.batchRoster = c.currentRoster(), slices.Clone(c.fleet)
	}
	c.batchJobs, c.dirtyJobs = c.dirtyJobs, nil
	c.batchEnds = make(map[*worker]endPosition)
	for _, w := range c.fleet {
		if w.processedEnd > w.durableEnd {
			c.batchEnds[w] = endPosition{incarnation: w.incarnation, number: w.processedEnd}
		}
	}
	c.emit(p)
}

// acknowledgeAll acknowledges ends that changed nothing durable.
func (c *Core) acknowledgeAll() {
	for _, w := range c.fleet {
		w.durableEnd = max(w.durableEnd, w.processedEnd)
	}
}

// persisted releases what waited for a batch to be durable.
func (c *Core) persisted(ev Persisted) {
	if ev.Batch != c.batchInFlight {
		return
	}
	c.batchInFlight = 0
	for _, e := range c.batchJobs {
		// A job that ended after the batch was made is dirty again.
		if !e.dirty {
			e.shown = e.outcome
		}
	}
	for w, m := range c.batchEnds {
		// Another life of the worker counts anew.
		if w.incarnation == m.incarnation {
			w.durableEnd = max(w.durableEnd, m.number)
		}
	}
	c.rosterPersisted()
	c.batchJobs, c.batchEnds = nil, nil
}

// removeExpiredJobs drops jobs that ended long enough ago from memory and gives
// their names, so that their records are dropped too.
func (c *Core) removeExpiredJobs() []job.ID {
	keep := c.settings.Retention
	var out []job.ID
	c.endedJobs = slices.DeleteFunc(c.endedJobs, func(e *entry) bool {
		age := time.Duration(c.now.UnixMS-e.endedMS) * time.Millisecond
		if age < keep || e.dirty || e.shown == job.Open {
			return false
		}
		delete(c.jobs, e.job.ID)
		out = append(out, e.job.ID)
		return true
	})
	return out
}

// progress gives a job's durable state.
func (e *entry) progress() job.Progress {
	p := job.Progress{Outcome: e.outcome, EndedMS: e.endedMS}
	if e.outcome != job.Open {
		return p
	}
	for _, o := range e.occs {
		if e.doneOccs[o.index] {
			p.Occurrences = append(p.Occurrences, job.Occurrence{Index: o.index, Done: true})
			continue
		}
		p.Occurrences = append(p.Occurrences, job.Occurrence{Index: o.index, Steps: o.progress()})
	}
	return p
}

func (o *occurrence) progress() []job.StepProgress {
	var out []job.StepProgress
	for _, g := range o.groups {
		s := job.StepProgress{Step: g.index}
		changed := false
		for _, u := range g.units {
			if u.state == unitDone {
				s.MarkDone(u.index)
				changed = true
				continue
			}
			if len(u.failures) > 0 {
				if s.Failures == nil {
					s.Failures = make(map[int][]int64)
				}
				s.Failures[u.index] = slices.Clone(u.failures)
				changed = true
			}
			if u.saved != "" {
				if s.Saved == nil {
					s.Saved = make(map[int]string)
				}
				s.Saved[u.index] = u.saved
				changed = true
			}
		}
		if changed {
			out = append(out, s)
		}
	}
	return out
}
