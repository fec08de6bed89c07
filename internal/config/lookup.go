package config

import (
	"slices"

	"coltsfootmux/internal/model"
)

// Account gives an account by name; nil when there is none.
func (d *Document) Account(name model.Account) *Account {
	i := slices.IndexFunc(d.Accounts, func(a Account) bool { return a.Name == name })
	if i < 0 {
		return nil
	}
	return &d.Accounts[i]
}

// Region gives the region of a data centre; empty when there is none such.
func (d *Document) Region(dc model.DataCentre) model.Region {
	for _, c := range d.Fleet.DataCentres {
		if c.Name == dc {
			return c.Region
		}
	}
	return ""
}

// Cell gives a cell by id; nil when there is none.
func (d *Document) Cell(id model.CellID) *model.Cell {
	i := slices.IndexFunc(d.Fleet.Cells, func(c model.Cell) bool { return c.ID == id })
	if i < 0 {
		return nil
	}
	return &d.Fleet.Cells[i]
}

// Exception gives an exception by id; nil when there is none.
func (d *Document) Exception(id string) *Exception {
	i := slices.IndexFunc(d.Exceptions, func(e Exception) bool { return e.ID == id })
	if i < 0 {
		return nil
	}
	return &d.Exceptions[i]
}
