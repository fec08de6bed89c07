package entry

import (
	"slices"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// rack is a kind of cell: how many workers it has of each capacity.
type rack map[model.Shape]int

// site is a data centre: its capacities and its kinds of cells.
type site struct {
	name   model.DataCentre
	counts rack
	racks  []rack
}

// room answers whether a configuration's workers could hold a piece of work if
// nothing else ran.
type room struct{ sites []site }

func newRoom(f *config.Fleet) *room {
	r := &room{}
	at := make(map[model.DataCentre]int)
	for _, c := range f.Cells {
		i, ok := at[c.DataCentre]
		if !ok {
			i = len(r.sites)
			at[c.DataCentre] = i
			r.sites = append(r.sites, site{name: c.DataCentre, counts: make(rack)})
		}
		r.sites[i].add(c.Workers)
	}
	return r
}

func (s *site) add(ws []model.Worker) {
	k := make(rack)
	for _, w := range ws {
		k[w.Capacity]++
		s.counts[w.Capacity]++
	}
	if !slices.ContainsFunc(s.racks, k.same) {
		s.racks = append(s.racks, k)
	}
}

func (k rack) same(o rack) bool {
	if len(k) != len(o) {
		return false
	}
	for shape, n := range k {
		if o[shape] != n {
			return false
		}
	}
	return true
}

// holds gives how many members of a shape fit into the rack together.
func (k rack) holds(s model.Shape) int {
	sum := 0
	for capacity, n := range k {
		sum += n * times(s, capacity)
	}
	return sum
}

// largest gives how many members fit onto the best single worker.
func (k rack) largest(s model.Shape) int {
	best := 0
	for capacity := range k {
		best = max(best, times(s, capacity))
	}
	return best
}

// holds reports whether some place in the data centres (any when none are
// named) could hold all members with the adjacency.
func (r *room) holds(w *model.Work, dcs []model.DataCentre) bool {
	sum := 0
	for _, s := range r.sites {
		if len(dcs) > 0 && !slices.Contains(dcs, s.name) {
			continue
		}
		n := s.holds(w)
		if n >= w.Members {
			return true
		}
		sum += n
	}
	return w.Adjacency == model.AdjacentAny && sum >= w.Members
}

// holds gives how many members the data centre could hold with the adjacency.
func (s *site) holds(w *model.Work) int {
	switch w.Adjacency {
	case model.AdjacentWorker:
		return s.counts.largest(w.Shape)
	case model.AdjacentRack:
		best := 0
		for _, k := range s.racks {
			best = max(best, k.holds(w.Shape))
		}
		return best
	}
	return s.counts.holds(w.Shape)
}

// times gives how many of a shape fit into a capacity.
func times(s, capacity model.Shape) int {
	n := maxMembers
	for _, part := range [][2]int{
		{s.Slots, capacity.Slots},
		{s.Accelerators, capacity.Accelerators},
		{s.CPUMilli, capacity.CPUMilli},
		{s.MemoryMB, capacity.MemoryMB},
	} {
		if part[0] > 0 {
			n = min(n, part[1]/part[0])
		}
	}
	return n
}
