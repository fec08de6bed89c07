package cell

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/core/lag"
	"coltsfootmux/internal/core/shed"
)

// PassTook says how long the latest step took if it made a placement pass. It puts off the next
// pass, so that passes leave the processor to calls and answers however much waits.
func (c *Core) PassTook(took time.Duration) {
	c.nextPlacement = max(c.nextPlacement, c.now.Mono+lag.PassInterval(took))
}

// startWindow returns how many starts may be without an answer for one more of the group to be ordered.
// Work that is not urgent has all of the window in a pool of which less than half is in use: there a job
// must not stand.
func (c *Core) startWindow(p *pass, g *rankedGroup) int {
	first := g.rank.Priority == 0 || p.usedShare(g.pool) < maxRelaxedShare
	return lag.StartWindow(c.starts.Size(c.maxUnansweredStarts()), c.lag, first)
}

// answerTime returns the time within which an answer that usually takes up to a time has been acted
// on, as the process runs late. Orders that are made again before add to the lag.
func (c *Core) answerTime(usual time.Duration) time.Duration { return usual + lag.Allowance(c.lag) }

// StartDelay returns for how long jobs have stood that could start, as too many starts have no answer.
func (c *Core) StartDelay() time.Duration { return c.startDelay.Value() }

// measureStartDelay takes in the groups that a pass has left out: for how long their jobs have stood that could
// start now. In a pool that is more than half in use they may wait for room as well, and with the whole window for
// slow workers.
func (c *Core) measureStartDelay(p *pass, left []*rankedGroup) {
	if most := c.maxUnansweredStarts(); c.starts.Size(most) == most && !lag.IsShort(c.lag) {
		left = nil
	}
	type look struct {
		g *rankedGroup
		u *unit
	}
	var waiting []look
	for _, g := range left {
		if g.occ.entry.runs > 0 || p.usedShare(g.pool) >= maxRelaxedShare {
			continue
		}
		if at := slices.IndexFunc(g.units, func(u *unit) bool { return u.state == unitWaiting && c.now.Mono >= u.notBefore }); at >= 0 {
			waiting = append(waiting, look{g, g.units[at]})
		}
	}
	slices.SortStableFunc(waiting, func(a, b look) int { return cmp.Compare(a.u.waitingSince, b.u.waitingSince) })
	waiting = waiting[:min(len(waiting), maxDelayedLooks)]
	if at := slices.IndexFunc(waiting, func(l look) bool { return c.findWorkers(p, l.g, l.u) != nil }); at >= 0 {
		c.startDelay.PutOff(c.now.Mono, c.standsFor(waiting[at].u))
	} else {
		c.startDelay = shed.Delay{}
	}
}
