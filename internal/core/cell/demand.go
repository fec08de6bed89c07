package cell

import "coltsfootmux/internal/job"

// demand is what a unit's place depends on.
type demand struct {
	pool      string
	resources job.Resources
	size      int
	gang      bool
	sameRack  bool
	label     string
	urgent    bool
	// unitSpecific marks units whose place depends on more: their data, their bound on one
	// worker, workers they keep off, room kept for them, how long they waited.
	unitSpecific bool
}

func demandOf(g *rankedGroup, u *unit) demand {
	s := g.step
	return demand{
		pool: g.pool, resources: s.Resources(), size: u.size, gang: s.Gang, sameRack: s.SameRack, label: s.Label,
		urgent:       g.rank.Priority == 0,
		unitSpecific: s.DataRack != "" || s.MaxPerWorker > 0 || s.SameRack || len(u.excludedUntil) > 0 || u.plan != nil || g.occ.entry.job.Queue.NeedsAdvice,
	}
}

// isCacheable says whether alike demands have no place when this one has none.
func (d demand) isCacheable() bool { return !d.unitSpecific }
