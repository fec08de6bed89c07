package config

import (
	"time"

	"coltsfootmux/internal/model"
)

// Drained reports whether a worker of a cell is closed to new work at a time.
// The most specific exception decides: worker, then cell, then data centre. With
// an empty worker it answers for the cell as a whole. Of equally specific
// exceptions, the one with the greater id wins in a canonical document.
func (d *Document) Drained(now time.Time, cell model.CellID, worker model.WorkerID) bool {
	drained, best := false, 0
	for i := range d.Exceptions {
		e := &d.Exceptions[i]
		if e.Drain == nil || !e.ActiveAt(now) {
			continue
		}
		if r := d.placeRank(e, cell, worker); r > 0 && r >= best {
			drained, best = *e.Drain, r
		}
	}
	return drained
}

// placeRank returns how specifically an exception selects a worker: 3 by the worker,
// 2 by its cell, 1 by its data centre, 0 not at all.
func (d *Document) placeRank(e *Exception, cell model.CellID, worker model.WorkerID) int {
	switch {
	case e.Worker != "":
		if e.Worker == worker {
			return 3
		}
	case e.Cell != "":
		if e.Cell == cell {
			return 2
		}
	case e.DataCentre != "":
		if c := d.Cell(cell); c != nil && c.DataCentre == e.DataCentre {
			return 1
		}
	}
	return 0
}
