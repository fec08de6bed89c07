// Package mapping says which key group a key belongs to and which cells and
// workers serve a group. It hashes over the configuration alone, never over who
// is alive, so that it moves only when the configuration does.
package mapping

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// Mapping is the routing table of one configuration.
type Mapping struct {
	groups int
	cells  [][]model.Cell
	wits   [][]model.Worker
	byCell map[model.CellID][]model.GroupID
}

// New computes the mapping of a fleet.
func New(f config.Fleet) *Mapping {
	m := &Mapping{groups: f.KeyGroups, byCell: make(map[model.CellID][]model.GroupID)}
	for g := range f.KeyGroups {
		id := model.GroupID(g)
		cells := rankCells(f.Cells, id)
		cells = cells[:min(f.CellsPerGroup, len(cells))]
		m.cells = append(m.cells, cells)
		m.wits = append(m.wits, witnesses(cells, id, f.Witnesses))
		for _, c := range cells {
			m.byCell[c.ID] = append(m.byCell[c.ID], id)
		}
	}
	return m
}

// Groups gives how many key groups there are.
func (m *Mapping) Groups() int { return m.groups }

// Group gives the group of a key.
func (m *Mapping) Group(k model.Key) model.GroupID {
	return model.GroupID(xxhash.Sum64String(string(k)) % uint64(m.groups))
}

// Cells gives the cells that serve a group, the preferred one first.
func (m *Mapping) Cells(g model.GroupID) []model.Cell {
	if int(g) >= len(m.cells) {
		return nil
	}
	return m.cells[g]
}

// Witnesses gives the workers that guard a group, spread over its cells.
func (m *Mapping) Witnesses(g model.GroupID) []model.Worker {
	if int(g) >= len(m.wits) {
		return nil
	}
	return m.wits[g]
}

// GroupsOf gives the groups that a cell serves.
func (m *Mapping) GroupsOf(c model.CellID) []model.GroupID { return m.byCell[c] }

func rankCells(cells []model.Cell, g model.GroupID) []model.Cell {
	out := slices.Clone(cells)
	scope := model.GroupScope(g)
	slices.SortFunc(out, func(a, b model.Cell) int {
		return cmp.Or(
			cmp.Compare(Weight(scope, string(b.ID)), Weight(scope, string(a.ID))),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return out
}

// witnesses takes one worker of each cell in turn until there are n.
func witnesses(cells []model.Cell, g model.GroupID, n int) []model.Worker {
	scope := model.GroupScope(g)
	ranked := make([][]model.Worker, len(cells))
	for i, c := range cells {
		ranked[i] = slices.Clone(c.Workers)
		slices.SortFunc(ranked[i], func(a, b model.Worker) int {
			return cmp.Or(
				cmp.Compare(Weight(scope, string(b.ID)), Weight(scope, string(a.ID))),
				cmp.Compare(a.ID, b.ID),
			)
		})
	}
	var out []model.Worker
	for row := 0; len(out) < n; row++ {
		before := len(out)
		for _, ws := range ranked {
			if row < len(ws) && len(out) < n {
				out = append(out, ws[row])
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}

// Weight is the rendezvous weight of a member for a scope.
func Weight(s model.Scope, member string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(s.String())
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return d.Sum64()
}
