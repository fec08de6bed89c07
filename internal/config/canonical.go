package config

import (
	"cmp"
	"slices"

	"coltsfootmux/internal/model"
)

// Canonical returns a copy in which every list is sorted by name, so that two
// documents of the same content are equal and a small change gives a small
// difference in the text.
func (d *Document) Canonical() *Document {
	out := *d
	out.Fleet.DataCentres = sortedBy(d.Fleet.DataCentres, func(c DataCentre) model.DataCentre { return c.Name })
	out.Fleet.Cells = sortedBy(d.Fleet.Cells, func(c model.Cell) model.CellID { return c.ID })
	for i := range out.Fleet.Cells {
		c := &out.Fleet.Cells[i]
		c.Workers = sortedBy(c.Workers, func(w model.Worker) model.WorkerID { return w.ID })
	}
	out.Accounts = sortedBy(d.Accounts, func(a Account) model.Account { return a.Name })
	out.Exceptions = sortedBy(d.Exceptions, func(e Exception) string { return e.ID })
	return &out
}

func sortedBy[T any, K cmp.Ordered](in []T, key func(T) K) []T {
	out := slices.Clone(in)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return out
}
