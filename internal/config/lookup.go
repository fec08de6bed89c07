package config

import (
	"slices"

	"coltsfootmux/internal/model"
)

// Account returns the account with a name, or nil.
func (d *Document) Account(name model.Account) *Account {
	i := slices.IndexFunc(d.Accounts, func(a Account) bool { return a.Name == name })
	if i < 0 {
		return nil
	}
	return &d.Accounts[i]
}

// Region returns the region of a data centre; empty when it is unknown.
func (d *Document) Region(dc model.DataCentre) model.Region {
	for _, c := range d.Fleet.DataCentres {
		if c.Name == dc {
			return c.Region
		}
	}
	return ""
}

// Cell returns the cell with an id, or nil.
func (d *Document) Cell(id model.CellID) *model.Cell {
	i := slices.IndexFunc(d.Fleet.Cells, func(c model.Cell) bool { return c.ID == id })
	if i < 0 {
		return nil
	}
	return &d.Fleet.Cells[i]
}

// Exception returns the exception with an id, or nil.
func (d *Document) Exception(id string) *Exception {
	i := slices.IndexFunc(d.Exceptions, func(e Exception) bool { return e.ID == id })
	if i < 0 {
		return nil
	}
	return &d.Exceptions[i]
}
