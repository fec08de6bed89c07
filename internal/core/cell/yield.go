package cell

import (
	"coltsfootmux/internal/core/displace"
	"coltsfootmux/internal/job"
)

// GangsClaimRoom reports, for the log, that work with slack leaves the room of a pool to
// waiting gangs of higher priority, or no longer.
type GangsClaimRoom struct {
	Pool string
	// Begin is set when it begins.
	Begin bool
	// Job and Tasks are those of the most urgent gang that waits.
	Job   job.ID
	Tasks int
}

func (GangsClaimRoom) action() {}

// findClaims determines for each pool the most urgent gang that claims its room.
func (c *Core) findClaims(p *pass) {
	if c.settings.GangYieldRunTimes == 0 {
		return
	}
	p.claims = make(map[string]*rankedGroup)
	for _, g := range p.ready {
		if p.claims[g.pool] == nil && c.claimsRoom(p, g) {
			p.claims[g.pool] = g
		}
	}
	c.reportClaims(p)
}

// claimsRoom reports whether a group is a gang, not itself urgent, that claims room.
func (c *Core) claimsRoom(p *pass, g *rankedGroup) bool {
	u := g.units[0]
	if g.rank.Priority == 0 || g.rank.Stale || u.size == 1 || u.state != unitWaiting {
		return false
	}
	waited := c.now.Mono - u.waitingSince
	return displace.Gang{Waited: waited}.ClaimsRoom(p.usedShare(g.pool))
}

// usedShare returns the share of a pool that was in use when the pass first asked for it.
func (p *pass) usedShare(pool string) float64 {
	share, ok := p.usedShares[pool]
	if !ok {
		share = p.pool(pool).usedShare()
		p.usedShares[pool] = share
	}
	return share
}

// usedShare returns the share of the usable workers' capacity that is in use.
func (s *workerSet) usedShare() float64 {
	used, total := 0.0, 0.0
	for _, w := range s.workers {
		used += w.used.Cores()
		total += w.Capacity.Cores()
	}
	if total == 0 {
		return 0
	}
	return used / total
}

// leavesRoom reports whether the group waits so that a gang of higher priority finds room.
func (c *Core) leavesRoom(p *pass, g *rankedGroup) bool {
	gang := p.claims[g.pool]
	if gang == nil || g.rank.Stale || g.rank.Priority <= gang.rank.Priority || g.step.LongRunning {
		return false
	}
	left := c.timeUntil(g.rank.DeadlineMS) - c.chainAfter(g.taskGroup)
	return displace.Work{TimeLeft: left, RunTime: g.runTime()}.LeavesRoom(c.settings.GangYieldRunTimes)
}

// reportClaims reports the pools in which gangs begin or cease to claim room.
func (c *Core) reportClaims(p *pass) {
	for pool, g := range p.claims {
		if !c.claimedPools[pool] {
			c.emit(GangsClaimRoom{Pool: pool, Begin: true, Job: g.occ.entry.job.ID, Tasks: g.units[0].size})
		}
	}
	for pool := range c.claimedPools {
		if p.claims[pool] == nil {
			c.emit(GangsClaimRoom{Pool: pool})
		}
	}
	c.claimedPools = make(map[string]bool, len(p.claims))
	for pool := range p.claims {
		c.claimedPools[pool] = true
	}
}
