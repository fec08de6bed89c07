package entitlement

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"coltsfootmux/internal/model"
)

// fit finds workers for all shapes of a claim, or says why there are none.
func (p *planner) fit(c claim) {
	hash := xxhash.Sum64String(string(c.account) + "\x00" + c.id)
	var cells []*place
	for _, cl := range ranked(p.fleet.cells, hash) {
		if c.allows(cl.dc) {
			cells = append(cells, cl)
		}
	}
	switch c.adjacency {
	case model.AdjacentWorker:
		p.fitTogether(c, hash, cells, onOneWorker)
	case model.AdjacentRack:
		p.fitTogether(c, hash, cells, inOneCell)
	case model.AdjacentDC:
		p.fitCentre(c, hash, cells)
	default:
		p.fitAnywhere(c, hash, cells)
	}
}

// chooser gives a worker for each shape of the claim inside a cell, or fewer.
type chooser func(c claim, hash uint64, cl *place, count int) []*place

func (p *planner) fitTogether(c claim, hash uint64, cells []*place, choose chooser) {
	for _, cl := range cells {
		if !c.shape.Times(c.count).Fits(cl.room) {
			continue
		}
		if ws := choose(c, hash, cl, c.count); len(ws) == c.count {
			p.take(c, cl, ws, 0)
			return
		}
	}
	p.miss(c, c.count, fmt.Sprintf("no single %s has room", c.adjacency))
}

func (p *planner) fitCentre(c claim, hash uint64, cells []*place) {
	tried := make(map[model.DataCentre]bool)
	for _, first := range cells {
		if tried[first.dc] {
			continue
		}
		tried[first.dc] = true
		var in []*place
		for _, cl := range cells {
			if cl.dc == first.dc {
				in = append(in, cl)
			}
		}
		if roomFor(c, in) >= c.count {
			p.fitAnywhere(c, hash, in)
			return
		}
	}
	p.miss(c, c.count, "no single data centre has room")
}

func roomFor(c claim, cells []*place) int {
	n := 0
	for _, cl := range cells {
		for _, w := range cl.workers {
			n += copies(c.shape, w.room)
		}
	}
	return n
}

// fitAnywhere takes as many shapes as each cell holds, in rank order.
func (p *planner) fitAnywhere(c claim, hash uint64, cells []*place) {
	done := 0
	for _, cl := range cells {
		if done == c.count {
			return
		}
		ws := inOneCell(c, hash, cl, c.count-done)
		p.take(c, cl, ws, done)
		done += len(ws)
	}
	if done < c.count {
		p.miss(c, c.count-done, "the data centres that it may use have no room left")
	}
}

func onOneWorker(c claim, hash uint64, cl *place, count int) []*place {
	for _, w := range ranked(cl.workers, hash) {
		if !c.shape.Times(count).Fits(w.room) {
			continue
		}
		out := make([]*place, count)
		for i := range out {
			out[i] = w
		}
		return out
	}
	return nil
}

func inOneCell(c claim, hash uint64, cl *place, count int) []*place {
	var out []*place
	for _, w := range ranked(cl.workers, hash) {
		for range min(copies(c.shape, w.room), count-len(out)) {
			out = append(out, w)
		}
		if len(out) == count {
			break
		}
	}
	return out
}

func (p *planner) take(c claim, cl *place, ws []*place, from int) {
	for i, w := range ws {
		w.room = w.room.Sub(c.shape)
		cl.room = cl.room.Sub(c.shape)
		p.units = append(p.units, Unit{
			Account: c.account, Guarantee: c.id, Index: from + i, Shape: c.shape,
			Cell: cl.cell, Worker: w.worker,
		})
	}
}

func (p *planner) miss(c claim, count int, why string) {
	p.unmet = append(p.unmet, Unmet{
		Account: c.account, Guarantee: c.id, Shape: c.shape, Count: count,
		Why: fmt.Sprintf("guarantee %s: %d of %d shapes have no place: %s", c.id, count, c.count, why),
	})
}

// copies is how many times s fits into room, at most as many as a claim can ask.
func copies(s, room model.Shape) int {
	const most = 1 << 20
	n := most
	for _, part := range [][2]int{
		{s.Slots, room.Slots},
		{s.Accelerators, room.Accelerators},
		{s.CPUMilli, room.CPUMilli},
		{s.MemoryMB, room.MemoryMB},
	} {
		if part[0] > 0 {
			n = min(n, max(0, part[1])/part[0])
		}
	}
	if s.IsZero() {
		return 0
	}
	return n
}
