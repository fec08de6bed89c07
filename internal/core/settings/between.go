package settings

import (
	"reflect"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// Between gives the change that turns a into b, both in canonical order. It is
// a list of operations, and a whole document only when a is nil.
func Between(a, b *config.Document) Change {
	if a == nil {
		return Change{Document: b}
	}
	var ops []Op
	ops = append(ops, between(a.Fleet.DataCentres, b.Fleet.DataCentres, dataCentreName,
		func(c config.DataCentre) Op { return Op{PutDataCentre: &c} },
		func(n model.DataCentre) Op { return Op{RemoveDataCentre: n} })...)
	ops = append(ops, cellsBetween(a.Fleet.Cells, b.Fleet.Cells)...)
	if m := mappingOf(&b.Fleet); m != mappingOf(&a.Fleet) {
		ops = append(ops, Op{SetMapping: &m})
	}
	if a.Defaults != b.Defaults {
		d := b.Defaults
		ops = append(ops, Op{SetDefaults: &d})
	}
	ops = append(ops, between(a.Accounts, b.Accounts, accountName,
		func(x config.Account) Op { return Op{PutAccount: &x} },
		func(n model.Account) Op { return Op{RemoveAccount: n} })...)
	ops = append(ops, between(a.Exceptions, b.Exceptions, exceptionID,
		func(x config.Exception) Op { return Op{PutException: &x} },
		func(id string) Op { return Op{RemoveException: id} })...)
	return Change{Ops: ops}
}

func mappingOf(f *config.Fleet) Mapping {
	return Mapping{KeyGroups: f.KeyGroups, CellsPerGroup: f.CellsPerGroup, Witnesses: f.Witnesses}
}

// cellsBetween changes a cell that both have worker by worker.
func cellsBetween(a, b []model.Cell) []Op {
	var ops []Op
	for _, c := range a {
		if _, ok := find(b, c.ID, cellID); !ok {
			ops = append(ops, Op{RemoveCell: c.ID})
		}
	}
	for _, c := range b {
		i, ok := find(a, c.ID, cellID)
		switch {
		case !ok || a[i].DataCentre != c.DataCentre:
			ops = append(ops, Op{PutCell: &c})
		default:
			ops = append(ops, workersBetween(c.ID, a[i].Workers, c.Workers)...)
		}
	}
	return ops
}

func workersBetween(cell model.CellID, a, b []model.Worker) []Op {
	return between(a, b, workerID,
		func(w model.Worker) Op { return Op{PutWorker: &PutWorker{Cell: cell, Worker: w}} },
		func(id model.WorkerID) Op { return Op{RemoveWorker: &RemoveWorker{Cell: cell, Worker: id}} })
}

// between removes what only a has and puts what differs in b.
func between[T any, K ~string](a, b []T, key func(T) K, put func(T) Op, remove func(K) Op) []Op {
	var ops []Op
	for _, x := range a {
		if _, ok := find(b, key(x), key); !ok {
			ops = append(ops, remove(key(x)))
		}
	}
	for _, y := range b {
		i, ok := find(a, key(y), key)
		if !ok || !reflect.DeepEqual(a[i], y) {
			ops = append(ops, put(y))
		}
	}
	return ops
}
