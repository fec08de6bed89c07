package entitlement

import (
	"cmp"
	"fmt"
	"slices"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// claim is one guarantee of one account.
type claim struct {
	account   model.Account
	id        string
	shape     model.Shape
	count     int
	adjacency model.Adjacency
	// centres limits where it may lie; empty for anywhere.
	centres []model.DataCentre
}

// claimsOf lists all guarantees, those that are hardest to fit first.
func claimsOf(d *config.Document) []claim {
	var out []claim
	for _, a := range d.Accounts {
		out = append(out, accountClaims(a)...)
	}
	slices.SortFunc(out, func(a, b claim) int {
		return cmp.Or(
			cmp.Compare(narrowness(b.adjacency), narrowness(a.adjacency)),
			cmp.Compare(b.shape.Accelerators*b.count, a.shape.Accelerators*a.count),
			cmp.Compare(b.shape.Accelerators, a.shape.Accelerators),
			cmp.Compare(b.shape.Slots*b.count, a.shape.Slots*a.count),
			cmp.Compare(a.account, b.account),
			cmp.Compare(a.id, b.id),
		)
	})
	return out
}

// accountClaims names each guarantee by what it says, so that the order of the
// list does not matter; equal ones are numbered.
func accountClaims(a config.Account) []claim {
	seen := make(map[string]int)
	var out []claim
	for _, g := range a.Guarantees {
		id := fmt.Sprintf("%d/%d/%d/%d*%d %s %s", g.Shape.Slots, g.Shape.Accelerators,
			g.Shape.CPUMilli, g.Shape.MemoryMB, g.Count, g.Adjacency, g.DataCentre)
		n := seen[id]
		seen[id]++
		c := claim{
			account: a.Name, id: fmt.Sprintf("%s #%d", id, n),
			shape: g.Shape, count: g.Count, adjacency: g.Adjacency, centres: a.DataCentres,
		}
		if g.DataCentre != "" {
			c.centres = []model.DataCentre{g.DataCentre}
		}
		out = append(out, c)
	}
	return out
}

func narrowness(a model.Adjacency) int {
	switch a {
	case model.AdjacentWorker:
		return 3
	case model.AdjacentRack:
		return 2
	case model.AdjacentDC:
		return 1
	}
	return 0
}

func (c *claim) allows(dc model.DataCentre) bool {
	return len(c.centres) == 0 || slices.Contains(c.centres, dc)
}
