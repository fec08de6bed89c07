// Package dispatch chooses which cell owner an attempt is handed to. It keeps no
// state: what has been tried comes in with each question.
package dispatch

import (
	"slices"

	"coltsfootmux/internal/model"
)

// Offer is an owner with those of its cells that an attempt may run in.
type Offer struct {
	Owner model.Member
	Cells []model.CellID
}

// View is what the chooser looks at.
type View interface {
	// Owner gives who owns a cell, if that is known.
	Owner(model.CellID) (model.Member, bool)
	// Possible reports whether the work fits into the cells when nothing else
	// that can be evicted runs there.
	Possible(w *model.Work, cells []model.CellID) bool
}

// Question asks where an attempt should go.
type Question struct {
	Work *model.Work
	// Near are the cells that serve the work's key group, the preferred one first.
	Near []model.CellID
	// Far gives further cells, which only idempotent work may run in. It is asked
	// only when no owner of a near cell takes the work; nil for none.
	Far  func() []model.CellID
	Self model.HostID
	// Tried are the owners that have refused the attempt.
	Tried []model.HostID
}

// Verdict says what to do with an attempt.
type Verdict uint8

// The verdicts.
const (
	// Send hands the attempt to the offer.
	Send Verdict = iota
	// Hold keeps it: a cell that might take it has no known owner.
	Hold
	// Impossible says that no cell could ever hold it.
	Impossible
	// Exhausted says that every owner that could hold it has refused it.
	Exhausted
)

// Choose gives the owner to hand an attempt to: this scheduler before others, and
// the cells of the key group before further ones.
func Choose(v View, q Question) (Offer, Verdict) {
	near, gaps := offers(v, q.Near)
	selfFirst(near, q.Self)
	o, found, fits := first(v, q, near)
	if found {
		return o, Send
	}
	if q.Work.Idempotent && q.Far != nil {
		far, more := offers(v, q.Far())
		o, found, some := first(v, q, far)
		if found {
			return o, Send
		}
		gaps, fits = gaps || more, fits || some
	}
	switch {
	case gaps:
		return Offer{}, Hold
	case fits:
		return Offer{}, Exhausted
	}
	return Offer{}, Impossible
}

// first gives the first offer that could hold the work and has not refused it.
// fits says that some offer could hold it.
func first(v View, q Question, os []Offer) (o Offer, found, fits bool) {
	for _, o := range os {
		if !v.Possible(q.Work, o.Cells) {
			continue
		}
		fits = true
		if !slices.Contains(q.Tried, o.Owner.Host) {
			return o, true, true
		}
	}
	return Offer{}, false, fits
}

// offers groups cells by their owners, in the order of the cells. gaps says that
// some cell has no known owner.
func offers(v View, cells []model.CellID) (out []Offer, gaps bool) {
	for _, id := range cells {
		m, ok := v.Owner(id)
		if !ok {
			gaps = true
			continue
		}
		i := slices.IndexFunc(out, func(o Offer) bool { return o.Owner == m })
		if i < 0 {
			out = append(out, Offer{Owner: m})
			i = len(out) - 1
		}
		out[i].Cells = append(out[i].Cells, id)
	}
	return out, gaps
}

// selfFirst moves this scheduler's offer to the front and keeps the rest in order.
func selfFirst(os []Offer, self model.HostID) {
	i := slices.IndexFunc(os, func(o Offer) bool { return o.Owner.Host == self })
	if i <= 0 {
		return
	}
	own := os[i]
	copy(os[1:i+1], os[:i])
	os[0] = own
}
