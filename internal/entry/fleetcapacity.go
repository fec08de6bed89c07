package entry

import (
	"slices"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// workerCounts counts workers by their capacity.
type workerCounts map[model.Shape]int

// dataCentre is the capacity of a data centre.
type dataCentre struct {
	name model.DataCentre
	// total counts all workers.
	total workerCounts
	// cells has the counts of each cell (a rack), without duplicates.
	cells []workerCounts
}

// fleetCapacity tells whether work would fit onto the workers of a configuration
// if nothing else ran.
type fleetCapacity struct{ dataCentres []dataCentre }

func newFleetCapacity(f *config.Fleet) *fleetCapacity {
	capacity := &fleetCapacity{}
	index := make(map[model.DataCentre]int)
	for _, c := range f.Cells {
		i, ok := index[c.DataCentre]
		if !ok {
			i = len(capacity.dataCentres)
			index[c.DataCentre] = i
			capacity.dataCentres = append(capacity.dataCentres, dataCentre{name: c.DataCentre, total: make(workerCounts)})
		}
		capacity.dataCentres[i].addCell(c.Workers)
	}
	return capacity
}

// addCell adds the workers of one cell.
func (d *dataCentre) addCell(ws []model.Worker) {
	counts := make(workerCounts)
	for _, w := range ws {
		counts[w.Capacity]++
		d.total[w.Capacity]++
	}
	if !slices.ContainsFunc(d.cells, counts.equal) {
		d.cells = append(d.cells, counts)
	}
}

func (c workerCounts) equal(other workerCounts) bool {
	if len(c) != len(other) {
		return false
	}
	for shape, n := range c {
		if other[shape] != n {
			return false
		}
	}
	return true
}

// membersThatFit returns how many members of a shape fit onto all the workers.
func (c workerCounts) membersThatFit(s model.Shape) int {
	sum := 0
	for capacity, n := range c {
		sum += n * membersPerWorker(s, capacity)
	}
	return sum
}

// mostOnOneWorker returns how many members fit onto the worker that holds the most.
func (c workerCounts) mostOnOneWorker(s model.Shape) int {
	best := 0
	for capacity := range c {
		best = max(best, membersPerWorker(s, capacity))
	}
	return best
}

// fits reports whether all members fit, with their adjacency, into the data centres
// in dcs, or into the fleet if dcs is empty.
func (f *fleetCapacity) fits(w *model.Work, dcs []model.DataCentre) bool {
	sum := 0
	for _, d := range f.dataCentres {
		if len(dcs) > 0 && !slices.Contains(dcs, d.name) {
			continue
		}
		n := d.membersThatFit(w)
		if n >= w.Members {
			return true
		}
		sum += n
	}
	return w.Adjacency == model.AdjacentAny && sum >= w.Members
}

// membersThatFit returns how many members fit into the data centre with the
// adjacency.
func (d *dataCentre) membersThatFit(w *model.Work) int {
	switch w.Adjacency {
	case model.AdjacentWorker:
		return d.total.mostOnOneWorker(w.Shape)
	case model.AdjacentRack:
		best := 0
		for _, counts := range d.cells {
			best = max(best, counts.membersThatFit(w.Shape))
		}
		return best
	}
	return d.total.membersThatFit(w.Shape)
}

// membersPerWorker returns how many members of a shape fit onto a worker of the
// capacity, at most maxMembers.
func membersPerWorker(shape, capacity model.Shape) int {
	n := maxMembers
	for _, part := range [][2]int{
		{shape.Slots, capacity.Slots},
		{shape.Accelerators, capacity.Accelerators},
		{shape.CPUMilli, capacity.CPUMilli},
		{shape.MemoryMB, capacity.MemoryMB},
	} {
		if part[0] > 0 {
			n = min(n, part[1]/part[0])
		}
	}
	return n
}
