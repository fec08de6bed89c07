package placement

import (
	"coltsfootmux/internal/model"
)

// configured brings a configuration into force. One that is older than that in
// force changes nothing.
func (c *Core) configured(e Configured) {
	if e.Config == nil || (c.doc != nil && e.Config.Version < c.doc.Version) {
		return
	}
	c.doc = e.Config
	c.enforce()
}

// enforce works out the settings of the configuration as of now.
func (c *Core) enforce() {
	c.conf = newSettings(&c.doc.Document, c.now, &c.conf)
	clear(c.fitsEmpty)
	for _, a := range c.accounts {
		a.weight = c.weightOf(a.name)
	}
	for _, cl := range c.order {
		c.refit(cl)
	}
	for _, cl := range c.order {
		c.entitle(cl)
		c.free(cl)
	}
	for _, u := range c.conf.plan.Unmet {
		c.emit(Alarm{Code: AlarmGuaranteeUnmet, Account: u.Account, Text: u.Why})
	}
	for _, x := range c.conf.exceptions {
		if x.Expires.After(c.now) {
			c.at(x.Expires, timer{kind: timerExpire, round: int(c.doc.Version)})
		}
	}
	c.unblockAll()
}

// expireDue works the settings out again when an exception has expired.
func (c *Core) expireDue(t timer) {
	if c.doc != nil && int(c.doc.Version) == t.round {
		c.enforce()
	}
}

// refit brings a cell's workers in line with the configuration. A worker that
// is no longer listed takes no new work.
func (c *Core) refit(cl *cell) {
	listed := make(map[model.WorkerID]model.Worker)
	conf, known := c.conf.cells[cl.id]
	for _, w := range conf.Workers {
		listed[w.ID] = w
	}
	for _, w := range cl.workers {
		mw, ok := listed[w.id]
		w.drained = (known && !ok) || c.conf.drained(cl.id, w.id)
		if ok && mw.Capacity != w.capacity {
			c.resize(w, mw.Capacity)
		}
		delete(listed, w.id)
	}
	for _, mw := range conf.Workers {
		if _, isNew := listed[mw.ID]; !isNew {
			continue
		}
		if _, elsewhere := c.workers[mw.ID]; elsewhere {
			continue
		}
		c.addWorker(cl, mw)
		c.total = c.total.Add(mw.Capacity)
		c.reindex(cl)
	}
}

func (c *Core) resize(w *worker, to model.Shape) {
	diff := to.Sub(w.capacity)
	w.capacity = to
	w.free = w.free.Add(diff)
	w.cell.free = w.cell.free.Add(diff)
	w.cell.total = w.cell.total.Add(diff)
	c.total = c.total.Add(diff)
	c.reindex(w.cell)
}
