package placement

import (
	"slices"
	"time"

	"coltsfootmux/internal/model"
)

const (
	// badWorkerJobs is how many different jobs must fail on a worker in a row.
	badWorkerJobs = 3
	// badJobWorkers is on how many good workers a job must fail.
	badJobWorkers = 2
	// goodKind is the share of good runs above which a failure is laid to the worker.
	goodKind = 0.5
	// probeFirst and probeMost bound the pause before a worker is probed.
	probeFirst = 10 * time.Second
	probeMost  = 10 * time.Minute
)

// health is what is known of a worker's failures.
type health struct {
	// blamed are the jobs that failed here since the last success.
	blamed []model.Key
	aside  bool
	// probing says that one task may run on a worker that is set aside, and
	// probe which one does.
	probing bool
	probe   model.Key
	pause   time.Duration
}

// admits reports whether new work may be put on the worker.
func (h *health) admits() bool { return !h.aside || (h.probing && h.probe == "") }

// admitted notes that a job was put on the worker.
func (h *health) admitted(k model.Key) {
	if h.aside && h.probing && h.probe == "" {
		h.probe = k
	}
}

func (h *health) forgive(k model.Key) {
	h.blamed = slices.DeleteFunc(h.blamed, func(o model.Key) bool { return o == k })
}

// succeeded clears a worker, and lays the job's earlier failures to the workers
// that it failed on.
func (c *Core) succeeded(t *task) {
	h := &t.worker.health
	h.blamed = nil
	if !h.aside {
		h.pause = 0
		return
	}
	*h = health{}
	c.restored(t.worker)
}

// failedOn notes a failure, and sets the worker aside when different jobs of
// kinds that run well elsewhere keep failing on it.
func (c *Core) failedOn(t *task, s *runStats) {
	j, h := t.job, &t.worker.health
	if !slices.Contains(j.badOn, t.worker.id) && !h.aside {
		j.badOn = append(j.badOn, t.worker.id)
	}
	if h.aside {
		c.probeFailed(t.worker)
		return
	}
	if s.good < goodKind || slices.Contains(h.blamed, j.work.Key) {
		return
	}
	h.blamed = append(h.blamed, j.work.Key)
	if len(h.blamed) >= badWorkerJobs {
		c.setAside(t.worker)
	}
}

func (c *Core) setAside(w *worker) {
	h := &w.health
	h.aside = true
	h.pause = probeFirst
	for _, k := range h.blamed {
		if j, ok := c.jobs[k]; ok {
			j.badOn = slices.DeleteFunc(j.badOn, func(id model.WorkerID) bool { return id == w.id })
		}
	}
	h.blamed = nil
	c.emit(Alarm{
		Code: AlarmWorkerAside, Worker: w.id, Cell: w.cell.id,
		Text: "different jobs keep failing on the worker",
	})
	c.after(h.pause, timer{kind: timerProbe, worker: w.id})
	c.resettle(w.cell)
}

func (c *Core) probeFailed(w *worker) {
	h := &w.health
	if !h.probing {
		return
	}
	h.probing = false
	h.probe = ""
	h.pause = min(probeMost, 2*h.pause)
	c.after(h.pause, timer{kind: timerProbe, worker: w.id})
}

// probeDue lets one task onto a worker that was set aside.
func (c *Core) probeDue(t timer) {
	w, ok := c.workers[t.worker]
	if !ok || !w.health.aside {
		return
	}
	w.health.probing = true
	w.health.probe = ""
	c.free(w.cell)
}

// restored gives a worker back to all work.
func (c *Core) restored(w *worker) {
	c.resettle(w.cell)
	c.free(w.cell)
}

// clearBlame takes a bad job's failures off the workers it failed on.
func (c *Core) clearBlame(j *job) {
	for _, id := range j.badOn {
		if w, ok := c.workers[id]; ok {
			w.health.forgive(j.work.Key)
		}
	}
}
