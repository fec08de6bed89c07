package entitlement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// fleet is the room that is still free of entitlements.
type fleet struct {
	cells []*place
}

// place is a cell or a worker with the hash of its name.
type place struct {
	cell    model.CellID
	worker  model.WorkerID
	dc      model.DataCentre
	hash    uint64
	room    model.Shape
	workers []*place
}

func newFleet(d *config.Document, usable Usable) *fleet {
	f := &fleet{}
	for _, cl := range d.Fleet.Cells {
		p := &place{cell: cl.ID, dc: cl.DataCentre, hash: xxhash.Sum64String(string(cl.ID))}
		for _, w := range cl.Workers {
			if !usable(cl.ID, w.ID) {
				continue
			}
			p.room = p.room.Add(w.Capacity)
			p.workers = append(p.workers, &place{
				cell: cl.ID, worker: w.ID, hash: xxhash.Sum64String(string(w.ID)), room: w.Capacity,
			})
		}
		f.cells = append(f.cells, p)
	}
	return f
}

// mix joins two hashes into a rendezvous weight.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// ranked orders places by their weight for a claim.
func ranked(ps []*place, claim uint64) []*place {
	type weighed struct {
		p *place
		w uint64
	}
	ws := make([]weighed, len(ps))
	for i, p := range ps {
		ws[i] = weighed{p: p, w: mix(claim, p.hash)}
	}
	slices.SortFunc(ws, func(a, b weighed) int {
		return cmp.Or(cmp.Compare(b.w, a.w), cmp.Compare(a.p.cell, b.p.cell), cmp.Compare(a.p.worker, b.p.worker))
	})
	out := make([]*place, len(ws))
	for i, w := range ws {
		out[i] = w.p
	}
	return out
}
