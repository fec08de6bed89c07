package config

import (
	"fmt"
	"net/netip"

	"coltsfootmux/internal/model"
)

// checkFleet checks that names are unique, that references resolve, and each
// worker's address and capacity.
func checkFleet(f *Fleet) []*FieldError {
	var out []*FieldError
	dcs := make(map[model.DataCentre]bool)
	for i, dc := range f.DataCentres {
		if dcs[dc.Name] {
			out = append(out, duplicate(index("fleet.dataCentres", i)+".name", string(dc.Name)))
		}
		dcs[dc.Name] = true
	}
	out = append(out, checkCells(f, dcs)...)
	return append(out, checkWitnesses(f)...)
}

func checkCells(f *Fleet, dcs map[model.DataCentre]bool) []*FieldError {
	var out []*FieldError
	cells := make(map[model.CellID]bool)
	seen := seenWorkers{ids: make(map[model.WorkerID]bool), addrs: make(map[string]bool)}
	for i, c := range f.Cells {
		path := index("fleet.cells", i)
		if cells[c.ID] {
			out = append(out, duplicate(path+".id", string(c.ID)))
		}
		cells[c.ID] = true
		if !dcs[c.DataCentre] {
			out = append(out, unknown(path+".dataCentre", "data centre", string(c.DataCentre)))
		}
		for j, w := range c.Workers {
			out = append(out, seen.check(index(path+".workers", j), &w)...)
		}
	}
	return out
}

// seenWorkers holds the worker ids and addresses checked so far.
type seenWorkers struct {
	ids   map[model.WorkerID]bool
	addrs map[string]bool
}

func (n seenWorkers) check(path string, w *model.Worker) []*FieldError {
	var out []*FieldError
	if n.ids[w.ID] {
		out = append(out, duplicate(path+".id", string(w.ID)))
	}
	if n.addrs[w.Addr] {
		out = append(out, duplicate(path+".addr", w.Addr))
	}
	n.ids[w.ID], n.addrs[w.Addr] = true, true
	if _, err := netip.ParseAddrPort(w.Addr); err != nil {
		out = append(out, &FieldError{Field: path + ".addr", Problem: fmt.Sprintf("%q is not an IP address and port", w.Addr)})
	}
	if w.Capacity.IsZero() {
		out = append(out, &FieldError{Field: path + ".capacity", Problem: "must not be empty"})
	}
	return out
}

func checkWitnesses(f *Fleet) []*FieldError {
	var out []*FieldError
	if f.Witnesses%2 == 0 {
		out = append(out, &FieldError{Field: "fleet.witnesses", Problem: "must be odd, so that a majority is more than half"})
	}
	total := 0
	for _, c := range f.Cells {
		total += len(c.Workers)
	}
	if f.Witnesses > total {
		out = append(out, &FieldError{Field: "fleet.witnesses", Problem: fmt.Sprintf("is more than the fleet's %d workers", total)})
	}
	return out
}

func duplicate(field, name string) *FieldError {
	return &FieldError{Field: field, Problem: fmt.Sprintf("%q is used twice", name)}
}

func unknown(field, what, name string) *FieldError {
	return &FieldError{Field: field, Problem: fmt.Sprintf("unknown %s %q", what, name)}
}
