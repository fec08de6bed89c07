package settings

import (
	"slices"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// Apply gives the document after a change. The result shares what did not
// change with doc, and neither may be written to. The error wraps ErrApply.
func Apply(doc *config.Document, c Change) (*config.Document, error) {
	switch {
	case c.Document != nil && len(c.Ops) > 0:
		return nil, eris.Wrap(ErrApply, "has both a document and operations")
	case c.Document != nil:
		return c.Document.Canonical(), nil
	case len(c.Ops) == 0:
		return nil, eris.Wrap(ErrApply, "changes nothing")
	}
	if doc == nil {
		return nil, eris.Wrap(ErrApply, "there is no document to operate on")
	}
	out := *doc
	for i := range c.Ops {
		if err := applyOp(&out, &c.Ops[i]); err != nil {
			return nil, err
		}
	}
	return &out, nil
}

func applyOp(d *config.Document, op *Op) error {
	if n := op.parts(); n != 1 {
		return eris.Wrapf(ErrApply, "operation has %d parts", n)
	}
	switch {
	case op.PutException != nil:
		d.Exceptions = put(d.Exceptions, *op.PutException, exceptionID)
	case op.RemoveException != "":
		return remove(&d.Exceptions, op.RemoveException, exceptionID, "exception")
	case op.PutAccount != nil:
		d.Accounts = put(d.Accounts, *op.PutAccount, accountName)
	case op.RemoveAccount != "":
		return remove(&d.Accounts, op.RemoveAccount, accountName, "client account")
	case op.SetDefaults != nil:
		d.Defaults = *op.SetDefaults
	default:
		return applyFleet(&d.Fleet, op)
	}
	return nil
}

func applyFleet(f *config.Fleet, op *Op) error {
	switch {
	case op.PutWorker != nil:
		return inCell(f, op.PutWorker.Cell, func(c *model.Cell) error {
			c.Workers = put(c.Workers, op.PutWorker.Worker, workerID)
			return nil
		})
	case op.RemoveWorker != nil:
		return inCell(f, op.RemoveWorker.Cell, func(c *model.Cell) error {
			return remove(&c.Workers, op.RemoveWorker.Worker, workerID, "worker")
		})
	case op.PutCell != nil:
		f.Cells = put(f.Cells, *op.PutCell, cellID)
	case op.RemoveCell != "":
		return remove(&f.Cells, op.RemoveCell, cellID, "cell")
	case op.PutDataCentre != nil:
		f.DataCentres = put(f.DataCentres, *op.PutDataCentre, dataCentreName)
	case op.RemoveDataCentre != "":
		return remove(&f.DataCentres, op.RemoveDataCentre, dataCentreName, "data centre")
	case op.SetMapping != nil:
		f.KeyGroups = op.SetMapping.KeyGroups
		f.CellsPerGroup = op.SetMapping.CellsPerGroup
		f.Witnesses = op.SetMapping.Witnesses
	}
	return nil
}

// inCell changes a copy of one cell.
func inCell(f *config.Fleet, id model.CellID, change func(*model.Cell) error) error {
	i, ok := find(f.Cells, id, cellID)
	if !ok {
		return eris.Wrapf(ErrApply, "no cell %q", id)
	}
	f.Cells = slices.Clone(f.Cells)
	return change(&f.Cells[i])
}

// parts counts the fields that are set.
func (op *Op) parts() int {
	n := 0
	for _, set := range []bool{
		op.PutException != nil, op.RemoveException != "",
		op.PutAccount != nil, op.RemoveAccount != "",
		op.PutWorker != nil, op.RemoveWorker != nil,
		op.PutCell != nil, op.RemoveCell != "",
		op.PutDataCentre != nil, op.RemoveDataCentre != "",
		op.SetDefaults != nil, op.SetMapping != nil,
	} {
		if set {
			n++
		}
	}
	return n
}
