package placement

import "coltsfootmux/internal/model"

const (
	// scanMost is how many owned cells are simply all looked at.
	scanMost = 16
	// walkMost bounds the cells that one search of the index looks at.
	walkMost = 16
	// spreadMost bounds the cells that work may be spread over in one search.
	spreadMost = 160
	// bucketMost is the highest bucket; cells with more free room share it.
	bucketMost = 512
)

// freeIndex keeps cells in buckets by how much of one resource is free, so that
// a search looks at few cells however many there are.
type freeIndex struct {
	buckets [bucketMost + 1][]*cell
	part    func(model.Shape) int
	slot    func(*cell) *place
}

// place is where a cell stands in an index.
type place struct {
	listed bool
	bucket int
	at     int
}

func newAcceleratorIndex() *freeIndex {
	return &freeIndex{
		part: func(s model.Shape) int { return s.Accelerators },
		slot: func(cl *cell) *place { return &cl.byAccelerators },
	}
}

func newSlotIndex() *freeIndex {
	return &freeIndex{
		part: func(s model.Shape) int { return s.Slots },
		slot: func(cl *cell) *place { return &cl.bySlots },
	}
}

func (x *freeIndex) bucketOf(cl *cell) int { return max(0, min(bucketMost, x.part(cl.free))) }

// update puts a cell into the bucket of its free room.
func (x *freeIndex) update(cl *cell) {
	p := x.slot(cl)
	b := x.bucketOf(cl)
	if p.listed && p.bucket == b {
		return
	}
	x.remove(cl)
	*p = place{listed: true, bucket: b, at: len(x.buckets[b])}
	x.buckets[b] = append(x.buckets[b], cl)
}

func (x *freeIndex) remove(cl *cell) {
	p := x.slot(cl)
	if !p.listed {
		return
	}
	in := x.buckets[p.bucket]
	last := in[len(in)-1]
	in[p.at] = last
	x.slot(last).at = p.at
	in[len(in)-1] = nil
	x.buckets[p.bucket] = in[:len(in)-1]
	p.listed = false
}

// fullest gives up to n cells with at least need free, the fullest first.
func (x *freeIndex) fullest(need, n int, ok func(*cell) bool) []*cell {
	var out []*cell
	for b := max(0, min(need, bucketMost)); b <= bucketMost; b++ {
		for _, cl := range x.buckets[b] {
			if len(out) == n {
				return out
			}
			if ok(cl) {
				out = append(out, cl)
			}
		}
	}
	return out
}

// emptiest gives cells with the most free room first, until they have enough
// free together or there are n.
func (x *freeIndex) emptiest(enough, n int, ok func(*cell) bool) []*cell {
	var out []*cell
	sum := 0
	for b := bucketMost; b > 0; b-- {
		for _, cl := range x.buckets[b] {
			if len(out) == n || sum >= enough {
				return out
			}
			if ok(cl) {
				out = append(out, cl)
				sum += b
			}
		}
	}
	return out
}

// reindex puts a cell where its free room belongs.
func (c *Core) reindex(cl *cell) {
	c.accelerators.update(cl)
	c.slots.update(cl)
}

func (c *Core) indexFor(s model.Shape) *freeIndex {
	if s.Accelerators > 0 {
		return c.accelerators
	}
	return c.slots
}
