package placement

import "coltsfootmux/internal/model"

// cancelled withdraws work. Waiting work is answered at once; its entry in the
// queue stays behind and is skipped later.
func (c *Core) cancelled(e Cancelled) {
	j, ok := c.jobs[e.Key]
	if !ok || j.cancelled {
		return
	}
	j.cancelled = true
	switch j.state {
	case jobWaiting:
		c.giveUp(j, model.ReasonCancelled, 0)
	case jobReclaiming:
		c.dropPlan(j)
		c.giveUp(j, model.ReasonCancelled, 0)
	case jobBeginning:
		c.emit(Abort{Key: j.work.Key})
	case jobRunning:
		c.stop(j, model.ReasonCancelled)
	}
}
