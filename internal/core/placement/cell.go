package placement

import "coltsfootmux/internal/model"

// cell is an owned cell.
type cell struct {
	id      model.CellID
	dc      model.DataCentre
	epoch   model.Epoch
	workers []*worker
	free    model.Shape
	total   model.Shape
	// drainFor is the large job that the cell is being emptied for.
	drainFor *job
	// freed says that room came free since the last pass.
	freed bool
	// lost says that another scheduler owns the cell now.
	lost  bool
	units []*unit
	// byAccelerators and bySlots are its places in the indexes.
	byAccelerators place
	bySlots        place
}

// whole reports whether nothing runs in the cell.
func (cl *cell) whole() bool { return cl.free == cl.total }

// unit is an entitled shape and the worker that holds it now.
type unit struct {
	acc   *account
	shape model.Shape
	home  model.WorkerID
	at    *worker
	// alarmed says that operators were told that it fits nowhere.
	alarmed bool
}
