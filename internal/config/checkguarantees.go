package config

import (
	"fmt"
	"slices"

	"coltsfootmux/internal/model"
)

// checkGuarantees checks each guarantee against the places that may hold it,
// and the sum of all guarantees against the fleet and each data centre. These
// conditions are necessary but not sufficient: whether all guarantees fit at
// once is decided by the entitlement plan.
func checkGuarantees(doc *Document) []*FieldError {
	capacity := newFleetCapacity(&doc.Fleet)
	out := capacity.checkSums(doc)
	for i := range doc.Accounts {
		a := &doc.Accounts[i]
		for j := range a.Guarantees {
			g := &a.Guarantees[j]
			path := index(index("accounts", i)+".guarantees", j)
			if !g.Shape.IsZero() && g.Adjacency.Valid() && !capacity.canHold(a, g) {
				out = append(out, &FieldError{Field: path, Problem: fmt.Sprintf("no place that the account may use holds %d of this shape with adjacency %q", g.Count, g.Adjacency)})
			}
		}
	}
	return out
}

// fleetCapacity is the capacity of a fleet, by cell, by data centre and in total.
type fleetCapacity struct {
	cells []model.Cell
	dcs   map[model.DataCentre]model.Shape
	total model.Shape
}

func newFleetCapacity(f *Fleet) fleetCapacity {
	r := fleetCapacity{cells: f.Cells, dcs: make(map[model.DataCentre]model.Shape)}
	for _, c := range f.Cells {
		sum := cellCapacity(&c)
		r.dcs[c.DataCentre] = r.dcs[c.DataCentre].Add(sum)
		r.total = r.total.Add(sum)
	}
	return r
}

func cellCapacity(c *model.Cell) model.Shape {
	var sum model.Shape
	for _, w := range c.Workers {
		sum = sum.Add(w.Capacity)
	}
	return sum
}

// checkSums returns a fault for each guarantee at which the sum of guarantees
// first exceeds the capacity of the fleet or of a data centre.
func (r fleetCapacity) checkSums(doc *Document) []*FieldError {
	var out []*FieldError
	var all model.Shape
	dcs := make(map[model.DataCentre]model.Shape)
	for i := range doc.Accounts {
		a := &doc.Accounts[i]
		for j, g := range a.Guarantees {
			path := index(index("accounts", i)+".guarantees", j)
			want := g.Shape.Times(g.Count)
			fitted := all.Fits(r.total)
			all = all.Add(want)
			if fitted && !all.Fits(r.total) {
				out = append(out, &FieldError{Field: path, Problem: "guarantees up to here exceed the whole fleet"})
			}
			dc, bound := a.boundTo(&g)
			if !bound {
				continue
			}
			fitted = dcs[dc].Fits(r.dcs[dc])
			dcs[dc] = dcs[dc].Add(want)
			if fitted && !dcs[dc].Fits(r.dcs[dc]) {
				out = append(out, &FieldError{Field: path, Problem: fmt.Sprintf("guarantees up to here exceed data centre %q", dc)})
			}
		}
	}
	return out
}

// boundTo returns the data centre that a guarantee is bound to; false if several
// may hold it.
func (a *Account) boundTo(g *Guarantee) (model.DataCentre, bool) {
	if g.DataCentre != "" {
		return g.DataCentre, true
	}
	if len(a.DataCentres) == 1 {
		return a.DataCentres[0], true
	}
	return "", false
}

// mayRunIn reports whether the account's work may run in a data centre.
func (a *Account) mayRunIn(dc model.DataCentre) bool {
	return len(a.DataCentres) == 0 || slices.Contains(a.DataCentres, dc)
}

// canHold reports whether an empty fleet could hold the guarantee.
func (r fleetCapacity) canHold(a *Account, g *Guarantee) bool {
	perDC := make(map[model.DataCentre]int)
	total, bestCell := 0, 0
	for i := range r.cells {
		c := &r.cells[i]
		if !a.mayRunIn(c.DataCentre) || g.DataCentre != "" && g.DataCentre != c.DataCentre {
			continue
		}
		n, most := countShapes(c, g.Shape)
		if g.Adjacency == model.AdjacentWorker && most >= g.Count {
			return true
		}
		total += n
		perDC[c.DataCentre] += n
		bestCell = max(bestCell, n)
	}
	switch g.Adjacency {
	case model.AdjacentWorker:
		return false
	case model.AdjacentRack:
		return bestCell >= g.Count
	case model.AdjacentDC:
		for _, n := range perDC {
			if n >= g.Count {
				return true
			}
		}
		return false
	}
	return total >= g.Count
}

// countShapes returns how many shapes fit into an empty cell, and the largest
// number on one worker.
func countShapes(c *model.Cell, s model.Shape) (sum, most int) {
	for _, w := range c.Workers {
		n := copiesIn(w.Capacity, s)
		sum += n
		most = max(most, n)
	}
	return sum, most
}

// copiesIn returns how many copies of s fit into capacity.
func copiesIn(capacity, s model.Shape) int {
	n := -1
	for _, p := range [][2]int{
		{capacity.Slots, s.Slots},
		{capacity.Accelerators, s.Accelerators},
		{capacity.CPUMilli, s.CPUMilli},
		{capacity.MemoryMB, s.MemoryMB},
	} {
		if p[1] > 0 && (n < 0 || p[0]/p[1] < n) {
			n = p[0] / p[1]
		}
	}
	return max(n, 0)
}
