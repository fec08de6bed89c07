// Package mapping says which key group a key belongs to and which cells and
// workers serve a group. It hashes over the configuration alone, never over who
// is alive, so that it moves only when the configuration does.
package mapping

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// Mapping is the routing table of one configuration.
type Mapping struct {
	fleet  config.Fleet
	groups int
	cells  [][]model.Cell
	wits   [][]model.Worker
	byCell map[model.CellID][]model.GroupID
}

// New computes the mapping of a fleet.
func New(f config.Fleet) *Mapping {
	m := &Mapping{fleet: f, groups: f.KeyGroups, byCell: make(map[model.CellID][]model.GroupID)}
	for g := range f.KeyGroups {
		id := model.GroupID(g)
		cells := rankCells(f.Cells, id, f.CellsPerGroup)
		m.cells = append(m.cells, cells)
		m.wits = append(m.wits, witnesses(cells, id, f.Witnesses))
		for _, c := range cells {
			m.byCell[c.ID] = append(m.byCell[c.ID], id)
		}
	}
	return m
}

// For gives the mapping of a fleet: m itself when it was computed from an equal
// one, as most changes of configuration leave the fleet alone. m may be nil.
func (m *Mapping) For(f config.Fleet) *Mapping {
	if m != nil && reflect.DeepEqual(m.fleet, f) {
		return m
	}
	return New(f)
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

// ranked is a cell with its weight for a group.
type ranked struct {
	weight uint64
	cell   *model.Cell
}

// rankCells gives the n cells of the highest weights for a group.
func rankCells(cells []model.Cell, g model.GroupID, n int) []model.Cell {
	scope := model.GroupScope(g)
	top := make([]ranked, 0, n+1)
	for i := range cells {
		r := ranked{weight: Weight(scope, string(cells[i].ID)), cell: &cells[i]}
		if len(top) == n && (n == 0 || r.compare(top[n-1]) > 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, r, ranked.compare)
		top = slices.Insert(top, at, r)
		top = top[:min(n, len(top))]
	}
	out := make([]model.Cell, len(top))
	for i := range out {
		out[i] = *top[i].cell
	}
	return out
}

// compare puts the heavier cell first.
func (r ranked) compare(o ranked) int {
	if r.weight != o.weight {
		return cmp.Compare(o.weight, r.weight)
	}
	return cmp.Compare(r.cell.ID, o.cell.ID)
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
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(s.Kind))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(s.Name)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return d.Sum64()
}
