package entitlement

import (
	"cmp"
	"slices"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// Usable says whether a worker may hold entitled room.
type Usable func(cell model.CellID, w model.WorkerID) bool

// Unit is one guaranteed shape on the worker that holds it.
type Unit struct {
	Account model.Account
	// Guarantee tells units of one guarantee from those of another.
	Guarantee string
	Index     int
	Shape     model.Shape
	Cell      model.CellID
	Worker    model.WorkerID
}

// Unmet is a guarantee, or the rest of one, that fits nowhere.
type Unmet struct {
	Account   model.Account
	Guarantee string
	Shape     model.Shape
	Count     int
	Why       string
}

// Plan is the whole fleet's plan.
type Plan struct {
	Units []Unit
	Unmet []Unmet

	byCell   map[model.CellID][]Unit
	byWorker map[model.WorkerID][]Unit
}

// Empty gives a plan that holds nothing.
func Empty() *Plan { return &Plan{} }

// InCell gives the units that a cell holds.
func (p *Plan) InCell(id model.CellID) []Unit { return p.byCell[id] }

// HeldForOthers is what a worker holds for accounts other than a.
func (p *Plan) HeldForOthers(id model.WorkerID, a model.Account) model.Shape {
	var sum model.Shape
	for _, u := range p.byWorker[id] {
		if u.Account != a {
			sum = sum.Add(u.Shape)
		}
	}
	return sum
}

// Make works out the plan. The order of the document's lists does not matter.
// Guarantees that are hard to fit go first; each looks for room in the order of
// its own rendezvous hashes, so that a changed worker moves only what it held
// and what that displaces.
func Make(d *config.Document, usable Usable) *Plan {
	p := &planner{fleet: newFleet(d, usable)}
	for _, c := range claimsOf(d) {
		p.fit(c)
	}
	return p.plan()
}

type planner struct {
	fleet *fleet
	units []Unit
	unmet []Unmet
}

func (p *planner) plan() *Plan {
	slices.SortFunc(p.units, func(a, b Unit) int {
		return cmp.Or(
			cmp.Compare(a.Cell, b.Cell),
			cmp.Compare(a.Account, b.Account),
			cmp.Compare(a.Guarantee, b.Guarantee),
			cmp.Compare(a.Index, b.Index),
		)
	})
	out := &Plan{
		Units: p.units, Unmet: p.unmet,
		byCell:   make(map[model.CellID][]Unit),
		byWorker: make(map[model.WorkerID][]Unit),
	}
	for _, u := range p.units {
		out.byCell[u.Cell] = append(out.byCell[u.Cell], u)
		out.byWorker[u.Worker] = append(out.byWorker[u.Worker], u)
	}
	return out
}
