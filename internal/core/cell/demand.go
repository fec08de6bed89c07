package cell

import "coltsfootmux/internal/job"

// demand is what the search for a unit's place depends on. Units with equal demands
// get the same result within a pass, unless unitSpecific is set.
type demand struct {
	pool      string
	resources job.Resources
	size      int
	gang      bool
	sameRack  bool
	label     string
	urgent    bool
	// unitSpecific marks units whose place depends on more: the rack of their data,
	// MaxPerWorker, the time waited for a common rack, excluded workers, a plan, or
	// tickets.
	unitSpecific bool
}

func demandOf(g *rankedGroup, u *unit) demand {
	s := g.step
	return demand{
		pool: g.pool, resources: s.Resources(), size: u.size, gang: s.Gang, sameRack: s.SameRack, label: s.Label,
		urgent:       g.rank.Priority == 0,
		unitSpecific: s.DataRack != "" || s.MaxPerWorker > 0 || s.SameRack || len(u.excludedUntil) > 0 || u.plan != nil || u.isSuspect() || g.occ.entry.job.Queue.NeedsAdvice,
	}
}

// isCacheable reports whether no unit with an equal demand finds a place once this
// one has found none.
func (d demand) isCacheable() bool { return !d.unitSpecific }
