package placement

import (
	"time"

	"coltsfootmux/internal/model"
)

// worker is one worker of an owned cell.
type worker struct {
	id       model.WorkerID
	cell     *cell
	capacity model.Shape
	// free is the capacity less what is held; negative while victims leave.
	free model.Shape
	// committed is the room that can't be taken back: for each account the
	// greater of what it is entitled to and what its firm work holds.
	committed model.Shape
	stakes    []stake
	tasks     []*task
	// planned are the jobs that wait for victims to leave this worker.
	planned []*job

	down      bool
	downSince time.Time
	leaving   bool
	drained   bool
	health    health
}

// stake is what one account is entitled to and holds on a worker.
type stake struct {
	acc  *account
	ent  model.Shape
	firm model.Shape
	all  model.Shape
}

func (s *stake) bound() model.Shape { return maxShape(s.ent, s.firm) }

// borrows reports whether the account holds more than it is entitled to.
func (s *stake) borrows() bool { return !s.all.Fits(s.ent) }

// usable reports whether new work may be put on the worker.
func (w *worker) usable() bool {
	return !w.down && !w.leaving && !w.drained && w.health.admits()
}

// holds reports whether the worker can hold entitled room.
func (w *worker) holds() bool {
	return !w.down && !w.leaving && !w.drained && !w.health.aside
}

func (w *worker) stake(a *account) *stake {
	for i := range w.stakes {
		if w.stakes[i].acc == a {
			return &w.stakes[i]
		}
	}
	w.stakes = append(w.stakes, stake{acc: a})
	return &w.stakes[len(w.stakes)-1]
}

func (w *worker) find(a *account) (stake, bool) {
	for i := range w.stakes {
		if w.stakes[i].acc == a {
			return w.stakes[i], true
		}
	}
	return stake{acc: a}, false
}

// change applies f to an account's stake and keeps committed right.
func (w *worker) change(a *account, f func(*stake)) {
	s := w.stake(a)
	before := s.bound()
	f(s)
	w.committed = w.committed.Add(s.bound()).Sub(before)
	w.prune()
}

func (w *worker) prune() {
	kept := w.stakes[:0]
	for _, s := range w.stakes {
		if !s.ent.IsZero() || !s.all.IsZero() {
			kept = append(kept, s)
		}
	}
	clear(w.stakes[len(kept):])
	w.stakes = kept
}

// firmRoom is how much more firm work of a the worker may take without
// touching what others are entitled to.
func (w *worker) firmRoom(a *account) model.Shape {
	s, _ := w.find(a)
	return w.capacity.Sub(w.committed).Add(s.bound()).Sub(s.firm)
}

// ownRoom is what is left of the account's entitlement on the worker.
func (w *worker) ownRoom(a *account) model.Shape {
	s, _ := w.find(a)
	return floorShape(s.ent.Sub(s.all))
}

// vacant is the room that no begun task holds.
func (w *worker) vacant() model.Shape {
	room := w.capacity
	for _, t := range w.tasks {
		if t.job.state != jobReclaiming {
			room = room.Sub(t.shape)
		}
	}
	return room
}

// reach is the room that will be free, and is not spoken for, once all that were
// told to leave have left. Only urgent work counts on that: it can shorten what
// others were given to leave.
func (w *worker) reach(j *job) model.Shape {
	room := w.free
	if j.class != urgentClass {
		return room
	}
	for _, t := range w.tasks {
		if t.job.leaving() {
			room = room.Add(t.shape)
		}
	}
	return room
}

func (w *worker) addTask(t *task) {
	w.tasks = append(w.tasks, t)
	w.hold(t, t.shape)
}

func (w *worker) dropTask(t *task) {
	for i, o := range w.tasks {
		if o == t {
			w.tasks = append(w.tasks[:i], w.tasks[i+1:]...)
			break
		}
	}
	w.hold(t, t.shape.Times(-1))
}

func (w *worker) hold(t *task, s model.Shape) {
	w.free = w.free.Sub(s)
	w.cell.free = w.cell.free.Sub(s)
	t.job.acc.used = t.job.acc.used.Add(s)
	w.change(t.job.acc, func(st *stake) {
		st.all = st.all.Add(s)
		if t.firm {
			st.firm = st.firm.Add(s)
		}
	})
}

func (w *worker) dropPlanned(j *job) {
	kept := w.planned[:0]
	for _, o := range w.planned {
		if o != j {
			kept = append(kept, o)
		}
	}
	w.planned = kept
}
