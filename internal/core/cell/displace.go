package cell

import (
	"time"

	"coltsfootmux/internal/core/displace"
)

// displace makes room for a gang that is not urgent by stopping runs of lower
// priority whose jobs have slack. It reports whether it did.
func (c *Core) displace(p *pass, g *rankedGroup, u *unit) bool {
	gang := displace.Gang{
		Waited: c.now.Mono - u.waitingSince, TimeLeft: c.timeUntil(g.rank.DeadlineMS),
		Estimate: g.runTime(), CoreSeconds: g.work(u),
	}
	if u.size == 1 || !gang.MayDisplace() {
		return false
	}
	best := c.cheapestEviction(p, g, u)
	if best.on == nil || !gang.JustifiesLoss(c.unsavedWork(best.victims)) {
		return false
	}
	c.applyEviction(p, u, best)
	return true
}

// timeUntil returns the time until a Unix millisecond; it is negative after it.
func (c *Core) timeUntil(unixMS int64) time.Duration {
	return time.Duration(unixMS-c.now.UnixMS) * time.Millisecond
}

// hasSlack reports whether a run can be stopped without loss to its caller.
func (c *Core) hasSlack(r *run) bool {
	e := r.unit.entry()
	return displace.Run{
		TimeLeft:  c.timeUntil(r.unit.group.occ.dueMS + e.expectedObjective().Milliseconds()),
		Objective: e.latestObjective(), Estimate: r.unit.group.runTime(),
	}.HasSlack()
}
