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
	c.dirty = append(c.dirty, e)
}

// ackMark is the number of an end in one life of a worker.
type ackMark struct {
	life   int
	number int64
}

// persist sends the progress that has changed, one batch at a time. A batch
// also covers every end taken in so far, so that they may be acknowledged.
func (c *Core) persist() {
	if c.batch != 0 {
		return
	}
	if c.now.Mono < c.nextPersist && (len(c.dirty) > 0 || c.rosterDirty) {
		return
	}
	forget := c.forgettable()
	if len(c.dirty) == 0 && len(forget) == 0 && !c.rosterDirty {
		c.ackAll()
		return
	}
	c.nextPersist = c.now.Mono + persistEvery
	c.batches++
	c.batch = c.batches
	p := Persist{Batch: c.batch, Forget: forget}
	for _, e := range c.dirty {
		e.dirty = false
		p.Progress = append(p.Progress, JobProgress{ID: e.job.ID, Progress: e.progress()})
	}
	if c.rosterDirty {
		c.rosterDirty = false
		p.Roster, c.batchRoster = c.rosterNow(), slices.Clone(c.fleet)
	}
	c.batchJobs, c.dirty = c.dirty, nil
	c.batchAcks = make(map[*worker]ackMark)
	for _, w := range c.fleet {
		if w.processed > w.ack {
			c.batchAcks[w] = ackMark{life: w.life, number: w.processed}
		}
	}
	c.act(p)
}

// ackAll acknowledges ends that changed nothing durable.
func (c *Core) ackAll() {
	for _, w := range c.fleet {
		w.ack = max(w.ack, w.processed)
	}
}

// committed releases what waited for a batch to be durable.
func (c *Core) committed(ev Committed) {
	if ev.Batch != c.batch {
		return
	}
	c.batch = 0
	for _, e := range c.batchJobs {
		// A job that ended after the batch was made is dirty again.
		if !e.dirty {
			e.shown = e.outcome
		}
	}
	for w, m := range c.batchAcks {
		// Another life of the worker counts anew.
		if w.life == m.life {
			w.ack = max(w.ack, m.number)
		}
	}
	c.rosterCommitted()
	c.batchJobs, c.batchAcks = nil, nil
}

// forgettable drops jobs that ended long enough ago from memory and gives
// their names, so that their records are dropped too.
func (c *Core) forgettable() []job.ID {
	keep := c.settings.Retention
	var out []job.ID
	c.ended = slices.DeleteFunc(c.ended, func(e *entry) bool {
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
				if s.Checkpoints == nil {
					s.Checkpoints = make(map[int]string)
				}
				s.Checkpoints[u.index] = u.saved
				changed = true
			}
		}
		if changed {
			out = append(out, s)
		}
	}
	return out
}
