package membership

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/model"
)

// Settings are the bounds of a Core. Zero values take defaults.
type Settings struct {
	// SilentAfter is how many calls in a row must go unanswered for a worker to
	// count as down. Default 2.
	SilentAfter int
	// Forget is after how long without any word a worker is forgotten. Default 1 h.
	Forget time.Duration
}

const (
	defaultSilentAfter = 2
	defaultForget      = time.Hour
)

// Changed says that a worker may be used, or not, from now on.
type Changed struct {
	Worker model.WorkerID
	// Up says that it answers.
	Up bool
	// Leaving says that one of the sources tells that it will go away.
	Leaving bool
}

// Usable reports whether the worker should get new work.
func (c Changed) Usable() bool { return c.Up && !c.Leaving }

// worker is what both sources tell of one worker.
type worker struct {
	// listed is the list's word; said is the worker's own.
	listed model.HostState
	said   bool
	silent int
	heard  time.Time
	told   Changed
}

// Core joins the sources. A worker is leaving as soon as either says so, and no
// longer once neither does.
type Core struct {
	set     Settings
	workers map[model.WorkerID]*worker
}

// New makes a Core that knows no worker.
func New(s Settings) *Core {
	if s.SilentAfter <= 0 {
		s.SilentAfter = defaultSilentAfter
	}
	if s.Forget <= 0 {
		s.Forget = defaultForget
	}
	return &Core{set: s, workers: make(map[model.WorkerID]*worker)}
}

// Step takes an event in and gives the workers whose standing changed, by id.
func (c *Core) Step(now time.Time, ev Event) []Changed {
	switch e := ev.(type) {
	case HostsSeen:
		return c.hostsSeen(now, e)
	case Answered:
		w := c.worker(now, e.Worker)
		w.heard, w.silent, w.said = now, 0, e.Leaving
		return c.changes(e.Worker)
	case Silent:
		c.worker(now, e.Worker).silent++
		return c.changes(e.Worker)
	}
	return nil
}

// Standing gives what is known of a worker. One never heard of counts as up: a
// wrong guess costs a refused or unanswered start.
func (c *Core) Standing(id model.WorkerID) Changed {
	w := c.workers[id]
	if w == nil {
		return Changed{Worker: id, Up: true}
	}
	return c.standing(id, w)
}

func (c *Core) standing(id model.WorkerID, w *worker) Changed {
	return Changed{
		Worker:  id,
		Up:      w.silent < c.set.SilentAfter,
		Leaving: w.said || w.listed == model.HostLeaving,
	}
}

func (c *Core) worker(now time.Time, id model.WorkerID) *worker {
	w := c.workers[id]
	if w == nil {
		w = &worker{heard: now, told: Changed{Worker: id, Up: true}}
		c.workers[id] = w
	}
	return w
}

// hostsSeen takes the list's word for workers. One that is not listed, or no
// longer, is judged by its own answers alone, as the list lags.
func (c *Core) hostsSeen(now time.Time, e HostsSeen) []Changed {
	listed := make(map[model.WorkerID]model.HostState, len(e.Hosts))
	for _, h := range e.Hosts {
		if h.Role == model.RoleWorker {
			listed[model.WorkerID(h.ID)] = h.State
		}
	}
	for id, state := range listed {
		if state == model.HostLeaving {
			c.worker(now, id)
		}
	}
	var ids []model.WorkerID
	for id, w := range c.workers {
		w.listed = listed[id]
		if w.listed == "" && now.Sub(w.heard) > c.set.Forget {
			delete(c.workers, id)
			continue
		}
		ids = append(ids, id)
	}
	return c.changes(ids...)
}

// changes gives those of the workers whose standing is not the one last told.
func (c *Core) changes(ids ...model.WorkerID) []Changed {
	var out []Changed
	for _, id := range ids {
		w := c.workers[id]
		if s := c.standing(id, w); s != w.told {
			w.told = s
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Changed) int { return cmp.Compare(a.Worker, b.Worker) })
	return out
}
