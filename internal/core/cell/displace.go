package cell

import (
	"time"

	"coltsfootmux/internal/core/displace"
)

// displace makes room for a gang that is not urgent, of runs of lower priority with
// slack, and says whether it did.
func (c *Core) displace(p *pass, g *ranked, u *unit) bool {
	gang := displace.Gang{
		Waited: c.now.Mono - u.waiting, TimeLeft: c.leftUntil(g.rank.DeadlineMS),
		Estimate: g.step.Estimate(), CoreSeconds: g.work(u),
	}
	if u.size == 1 || !gang.MayDisplace() {
		return false
	}
	best := c.cheapestSet(p, g, u)
	if best.on == nil || !gang.JustifiesLoss(c.unsavedWork(best.victims)) {
		return false
	}
	c.carryOut(p, u, best)
	return true
}

// leftUntil gives the time until a Unix millisecond, negative after it.
func (c *Core) leftUntil(unixMS int64) time.Duration {
	return time.Duration(unixMS-c.now.UnixMS) * time.Millisecond
}

// hasSlack says whether a run's caller loses nothing if it is stopped.
func (c *Core) hasSlack(r *run) bool {
	e := r.unit.entry()
	return displace.Run{
		TimeLeft:  c.leftUntil(r.unit.group.occ.dueMS + e.objective.Milliseconds()),
		Objective: e.objective, Estimate: r.unit.group.step.Estimate(),
	}.HasSlack()
}
