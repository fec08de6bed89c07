package placement

import (
	"math"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// submitted admits work to the queue or refuses it at once.
func (c *Core) submitted(e Submitted) {
	if j, ok := c.jobs[e.Work.Key]; ok {
		if !j.elsewhere() || e.Attempt <= j.first {
			c.joined(j, e)
			return
		}
		c.abandon(j)
	}
	if why, after := c.admit(&e); why != model.ReasonOK {
		c.emit(Refuse{Key: e.Work.Key, Reason: why, RetryAfter: after})
		return
	}
	c.seq++
	j := &job{
		work: e.Work, acc: c.account(e.Work.Account), class: c.conf.class(&e.Work),
		group: e.Group, epoch: e.GroupEpoch, cells: e.Cells,
		attempt: max(1, e.Attempt), first: max(1, e.Attempt), seq: c.seq,
	}
	c.jobs[j.work.Key] = j
	c.enqueue(j)
}

// abandon stops what is left here of a gang whose other members are elsewhere.
func (c *Core) abandon(j *job) {
	c.controlAll(j, platform.VerbStop)
	c.running--
	c.dropTasks(j)
	c.forget(j)
}

// joined takes the body of work that was found running.
func (c *Core) joined(j *job, e Submitted) {
	if !j.adopted {
		return
	}
	shape := j.work.Shape
	j.work = e.Work
	if len(j.tasks) > 0 {
		j.work.Shape = shape
	}
	j.cells = e.Cells
	j.first = max(j.first, e.Attempt)
	j.group = e.Group
	j.epoch = e.GroupEpoch
	j.adopted = false
}

func (c *Core) admit(e *Submitted) (model.Reason, time.Duration) {
	w := &e.Work
	if w.Members < 1 {
		w.Members = 1
	}
	if w.Shape.Negative() || w.Shape.IsZero() {
		return model.ReasonImpossible, 0
	}
	if c.conf.known {
		if _, ok := c.conf.accounts[w.Account]; !ok {
			return model.ReasonUnknownAccount, 0
		}
	}
	a := c.account(w.Account)
	if a.waiting >= c.conf.queueBound(w.Account, w.Kind) {
		return model.ReasonQueueFull, c.drainTime(a)
	}
	if !w.Deadline.IsZero() && !w.Deadline.After(c.now.Add(c.leastRun(w))) {
		return model.ReasonTooLate, 0
	}
	if c.conf.known && !c.possible(e) {
		return model.ReasonImpossible, 0
	}
	return model.ReasonOK, 0
}

// drainTime is a guess of when a full queue has room again.
func (c *Core) drainTime(a *account) time.Duration {
	const least, most = time.Second, 30 * time.Second
	return min(most, least+time.Duration(a.waiting)*time.Millisecond)
}

// Possible reports whether the work could run in the cells, which need not be
// owned, with nothing running there that can be evicted.
func (c *Core) Possible(w *model.Work, cells []model.CellID) bool {
	if len(cells) == 0 || !c.conf.known {
		return false
	}
	one := *w
	one.Members = max(1, w.Members)
	return c.possible(&Submitted{Work: one, Cells: cells})
}

// possible reports whether some set of the configured workers could hold the
// work with nothing else running.
func (c *Core) possible(e *Submitted) bool {
	key := shapeKey{
		account: e.Work.Account, shape: e.Work.Shape, members: e.Work.Members,
		adjacency: e.Work.Adjacency, firm: !e.Work.Preemptible || !e.Work.Idempotent,
		cells: joinCells(e.Cells),
	}
	if ok, known := c.fitsEmpty[key]; known {
		return ok
	}
	if len(c.fitsEmpty) >= fitsEmptyMax {
		clear(c.fitsEmpty)
	}
	ok := c.computePossible(key, e.Cells)
	c.fitsEmpty[key] = ok
	return ok
}

// fitsEmptyMax bounds the remembered answers of possible.
const fitsEmptyMax = 4096

// shapeKey is what decides whether work could run on an empty fleet.
type shapeKey struct {
	account   model.Account
	shape     model.Shape
	members   int
	adjacency model.Adjacency
	firm      bool
	cells     string
}

func (c *Core) computePossible(k shapeKey, limit []model.CellID) bool {
	ids := limit
	if len(ids) == 0 {
		ids = c.conf.cellOrder
	}
	sum := 0
	centre := make(map[model.DataCentre]int)
	for _, id := range ids {
		cl, ok := c.conf.cells[id]
		if !ok || !c.conf.allows(k.account, cl.DataCentre) {
			continue
		}
		inCell := 0
		for _, w := range cl.Workers {
			n := copies(k.shape, c.mostRoom(k, w))
			if k.adjacency == model.AdjacentWorker && n >= k.members {
				return true
			}
			inCell = min(math.MaxInt32, inCell+n)
		}
		if k.adjacency == model.AdjacentRack && inCell >= k.members {
			return true
		}
		centre[cl.DataCentre] += inCell
		if k.adjacency == model.AdjacentDC && centre[cl.DataCentre] >= k.members {
			return true
		}
		sum += inCell
	}
	return k.adjacency == model.AdjacentAny && sum >= k.members
}

// mostRoom is the room that the work could ever have on a worker.
func (c *Core) mostRoom(k shapeKey, w model.Worker) model.Shape {
	if !k.firm || !c.policy.Guarantee {
		return w.Capacity
	}
	return floorShape(w.Capacity.Sub(c.conf.plan.HeldForOthers(w.ID, k.account)))
}
