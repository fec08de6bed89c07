package capacity

import "math"

// sideWeight is the weight of the link and of the memory beside the processor, on which most of an
// owner's work depends.
const sideWeight = 0.25

// Fleet is what the machines of a fleet are ranked against.
type Fleet struct {
	// most holds the greatest known figure of each kind.
	most Machine
	// least is the weakness of the strongest machine.
	least float64
}

// NewFleet returns the fleet of the given machines. Those that can't be ranked are left out.
func NewFleet(machines []Machine) Fleet {
	f := Fleet{least: math.Inf(1)}
	for _, m := range machines {
		if m.Known() {
			f.most.Cores = greater(f.most.Cores, m.Cores)
			f.most.LinkMbps = greater(f.most.LinkMbps, m.LinkMbps)
			f.most.MemoryMB = greater(f.most.MemoryMB, m.MemoryMB)
		}
	}
	for _, m := range machines {
		if m.Known() {
			f.least = min(f.least, f.weakness(m))
		}
	}
	return f
}

// Rank returns the rank of one of the machines.
func (f Fleet) Rank(m Machine) Rank {
	if !m.Known() || math.IsInf(f.least, 1) {
		return 0
	}
	return Strongest + Rank(math.Round(max(0, f.weakness(m)-f.least)*float64(halving)))
}

// weakness returns by how many halvings a machine is weaker than one with the greatest figures of all.
func (f Fleet) weakness(m Machine) float64 {
	return halvings(f.most.Cores, m.Cores) + sideWeight*(halvings(f.most.LinkMbps, m.LinkMbps)+halvings(f.most.MemoryMB, m.MemoryMB))
}

// halvings returns how often the greatest figure is halved to give another. A figure that is not known
// counts as the greatest.
func halvings(greatest, figure float64) float64 {
	if !isKnown(greatest) || !isKnown(figure) {
		return 0
	}
	return math.Log2(greatest / figure)
}

func greater(a, b float64) float64 {
	if isKnown(b) {
		return max(a, b)
	}
	return a
}
