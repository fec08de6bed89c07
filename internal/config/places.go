package config

import "coltsfootmux/internal/model"

// places holds the names in a fleet that other parts of a document refer to.
type places struct {
	dcs     map[model.DataCentre]bool
	cells   map[model.CellID]bool
	workers map[model.WorkerID]bool
}

func newPlaces(f *Fleet) places {
	p := places{
		dcs:     make(map[model.DataCentre]bool, len(f.DataCentres)),
		cells:   make(map[model.CellID]bool, len(f.Cells)),
		workers: make(map[model.WorkerID]bool),
	}
	for _, dc := range f.DataCentres {
		p.dcs[dc.Name] = true
	}
	for _, c := range f.Cells {
		p.cells[c.ID] = true
		for _, w := range c.Workers {
			p.workers[w.ID] = true
		}
	}
	return p
}
