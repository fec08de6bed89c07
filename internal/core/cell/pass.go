package cell

import (
	"slices"

	"coltsfootmux/internal/core/queue"
	"coltsfootmux/internal/job"
)

// pass is the state of one placement pass: the groups that may start and the
// workers, as collected at its beginning, and what was found out since.
type pass struct {
	ready []*rankedGroup
	pools map[string]*workerSet
	racks map[rackKey]*workerSet
	// rackOrder holds the keys of racks in the order of their first workers.
	rackOrder []rackKey
	// starts counts the starts that the pass has ordered.
	starts int
	// entitled holds the jobs of priority 0 within their account's guarantee.
	entitled map[*jobEntry]bool
	// unplaceable holds the demands for which no place was found. They stay so for
	// the whole pass, as free room only shrinks during it.
	unplaceable map[demand]bool
	// held holds the groups that are not started yet, as the previous owner may have started them.
	held []*rankedGroup
	// claims holds, by pool, the most urgent gang that claims the room that comes free.
	claims map[string]*rankedGroup
	// usedShares caches, by pool, the share of the workers' capacity that is in use.
	usedShares map[string]float64
	// rooms caches whether tasks fit into the free room of their pool, as it was when the pass
	// first asked.
	rooms map[roomDemand]bool
	// victims caches, by worker, the runs that urgent work may preempt, cheapest
	// first.
	victims map[*worker][]*run
}

// rankedGroup is a group with its rank in the queue.
type rankedGroup struct {
	*taskGroup
	pool string
	rank queue.Rank
}

// newPass collects the workers and the groups that may start, most urgent first.
func (c *Core) newPass() *pass {
	p := &pass{
		pools: make(map[string]*workerSet), racks: make(map[rackKey]*workerSet), unplaceable: make(map[demand]bool),
		victims: make(map[*worker][]*run), usedShares: make(map[string]float64), rooms: make(map[roomDemand]bool),
	}
	for _, w := range c.fleet {
		w.endCooldowns(c.now.Mono)
		if w.listed {
			p.add(w, c.now.Mono)
		}
	}
	p.entitled = c.entitlements()
	known, held := c.previousRunsKnown(), 0
	unread := c.workersWithUnreadEnds()
	if known && len(unread) == 0 && !c.partialGangsStopped {
		c.partialGangsStopped = true
		c.stopPartialGangs()
	}
	asking := c.awaitsInherited()
	for i, e := range c.openJobs {
		if asking && c.previousOwnerMayHave(e) || e.inherited && !known {
			held++
			p.held = append(p.held, e.heldGroups()...)
			continue
		}
		if c.addReadyGroups(p, e, i, unread) {
			held++
		}
	}
	c.reportHeld(held)
	c.rankByShare(p)
	slices.SortStableFunc(p.ready, func(a, b *rankedGroup) int { return a.rank.Compare(b.rank) })
	c.findClaims(p)
	return p
}

// heldGroups returns the groups of a job that could start if its runs were known.
func (e *jobEntry) heldGroups() []*rankedGroup {
	var out []*rankedGroup
	for _, o := range e.occurrences {
		for _, g := range o.groups {
			if g.unfinished > 0 && g.hasWaiting() && g.dependenciesDone() {
				out = append(out, &rankedGroup{taskGroup: g, pool: e.job.Queue.Pool})
			}
		}
	}
	return out
}

// addReadyGroups adds the groups of a job that may start. It reports whether some are held, as
// their tasks may have ended on workers whose ended runs have not all been read.
func (c *Core) addReadyGroups(p *pass, e *jobEntry, order int, unread []*worker) (held bool) {
	for _, o := range e.occurrences {
		if o.unfinished == 0 || !c.isDue(e, o.index) {
			continue
		}
		for _, g := range o.groups {
			if g.unfinished == 0 || !g.hasWaiting() {
				continue
			}
			if !g.dependenciesDone() {
				continue
			}
			if c.mayHaveEndedOn(unread, g) {
				held = true
				p.held = append(p.held, &rankedGroup{taskGroup: g, pool: e.job.Queue.Pool})
				continue
			}
			c.markReady(g)
			rank := queue.Rank{
				Entitled: p.entitled[e], Priority: e.job.Queue.Priority, Arrival: order,
				DeadlineMS: o.dueMS + e.expectedObjective().Milliseconds(),
				Stale:      c.now.UnixMS > o.dueMS+job.StaleFactor*e.latestObjective().Milliseconds(),
			}
			p.ready = append(p.ready, &rankedGroup{taskGroup: g, pool: e.job.Queue.Pool, rank: rank})
		}
	}
	return held
}

func (c *Core) markReady(g *taskGroup) {
	if g.ready {
		return
	}
	g.ready = true
	for _, u := range g.units {
		u.waitingSince = c.now.Mono
	}
}

func (g *taskGroup) hasWaiting() bool {
	for _, u := range g.units {
		if u.state == unitWaiting {
			return true
		}
	}
	return false
}

// previousRunsKnown reports whether all runs of previous terms that may still be
// alive are known: every worker that may have one has answered, or all leases of
// those terms have expired.
func (c *Core) previousRunsKnown() bool {
	return c.earlierLeasesOver() || !slices.ContainsFunc(c.fleet, func(w *worker) bool {
		return !w.hasUnreadEnds() && c.mayHaveUnknownRuns(w)
	})
}

// entitlements returns the jobs of priority 0 that fit into their account's
// guarantee, taken in the order of their arrival.
func (c *Core) entitlements() map[*jobEntry]bool {
	out := make(map[*jobEntry]bool)
	used := make(map[string]int)
	for _, e := range c.openJobs {
		if e.job.Queue.Priority != 0 {
			continue
		}
		need := e.maxGPUs()
		have := c.policy.GuaranteedGPU(e.job.Account)
		if used[e.job.Account]+need > have {
			continue
		}
		used[e.job.Account] += need
		out[e] = true
	}
	return out
}

// maxGPUs returns the number of accelerators that a job needs if all its
// unfinished units run at once.
func (e *jobEntry) maxGPUs() int {
	n := 0
	for _, o := range e.occurrences {
		for _, g := range o.groups {
			n += g.unfinished * g.unitResources.GPU
		}
	}
	return n
}
