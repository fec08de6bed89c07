package cell

import (
	"time"

	"coltsfootmux/internal/core/lag"
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
