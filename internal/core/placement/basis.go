package placement

import (
	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// planBasis is the part of a configuration that the entitlement plan depends on.
type planBasis struct {
	cells    []model.Cell
	accounts []guaranteed
	drains   []drained
}

// guaranteed is an account's guarantees and where they may lie.
type guaranteed struct {
	name       model.Account
	guarantees []config.Guarantee
	centres    []model.DataCentre
}

// drained is a cell or worker that an exception drains.
type drained struct {
	cell   model.CellID
	worker model.WorkerID
}

func basisOf(d *config.Document, exceptions []config.Exception) planBasis {
	b := planBasis{cells: d.Fleet.Cells}
	for _, a := range d.Accounts {
		b.accounts = append(b.accounts, guaranteed{
			name: a.Name, guarantees: a.Guarantees, centres: a.DataCentres,
		})
	}
	for _, x := range exceptions {
		if x.Drain != nil && *x.Drain {
			b.drains = append(b.drains, drained{cell: x.Cell, worker: x.Worker})
		}
	}
	return b
}
