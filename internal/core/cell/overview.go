package cell

import "coltsfootmux/internal/overview"

// maxOverviewJobs bounds the number of jobs in an overview.
const maxOverviewJobs = 500

// Overview returns the state of the cell as it is shown to operators.
func (c *Core) Overview() *overview.Cell {
	out := &overview.Cell{PreviousRunsKnown: c.previousRunsKnown(), Accounts: c.accountsOverview()}
	for _, w := range c.fleet {
		free := w.available(0)
		out.Workers = append(out.Workers, overview.Worker{
			ID: string(w.ID), Pool: w.Pool, Rack: w.Rack, State: c.stateOf(w), Runs: len(w.runs),
			FreeCPU: free.CPU, FreeMemMB: free.MemMB, FreeGPU: free.GPU, SpeedPercent: c.speedPercent(w),
		})
	}
	for n, e := range c.openJobs {
		if n == maxOverviewJobs {
			out.MoreJobs = len(c.openJobs) - n
			break
		}
		out.Jobs = append(out.Jobs, c.jobOverview(e))
	}
	for _, e := range c.endedJobs {
		if e.raisedAlarms[AlarmProgressRefused] {
			j := c.jobOverview(e)
			j.WaitReason = "ended as failed: the store refuses its progress"
			out.Jobs = append(out.Jobs, j)
		}
	}
	c.addInterference(out)
	return out
}

// stateOf returns a word that says why a worker gets new runs or not.
func (c *Core) stateOf(w *worker) string {
	switch {
	case !w.listed:
		return "not listed"
	case w.holdFailures > 0:
		return "silent"
	case !w.knowsTerm || !w.onRoster:
		return "new"
	case w.Draining:
		return "draining"
	case w.placeDrained:
		return "data centre drained"
	case c.now.Mono < max(w.pauseUntil, w.suspectUntil):
		return "suspect"
	default:
		return "usable"
	}
}

func (c *Core) jobOverview(e *jobEntry) overview.Job {
	j := overview.Job{
		ID: string(e.job.ID), Queue: e.job.Queue.Name, Account: e.job.Account,
		Priority: e.job.Queue.Priority, AgeMS: c.now.UnixMS - e.job.SubmittedMS,
	}
	reserved, ready := false, false
	for _, o := range e.occurrences {
		for _, g := range o.groups {
			for _, u := range g.units {
				switch u.state {
				case unitActive:
					j.Running += len(u.runs)
				case unitWaiting:
					j.Waiting += u.size
					ready = ready || g.dependenciesDone()
					reserved = reserved || u.plan != nil
				}
			}
		}
	}
	j.WaitReason = c.waitReason(e, j.Waiting, ready, reserved)
	return j
}

// waitReason returns why a job's waiting units wait; it is empty if none does.
func (c *Core) waitReason(e *jobEntry, waiting int, ready, reserved bool) string {
	switch {
	case waiting == 0 && e.isUnopened(e.nextOccurrence) && c.isDue(e, e.nextOccurrence):
		return "the open tasks of all jobs take the memory of the cell"
	case waiting == 0 && len(e.occurrences) == 0:
		return "not due yet"
	case waiting == 0:
		return ""
	case e.inherited && !c.previousRunsKnown():
		return "workers of the previous term have not answered yet"
	case e.inherited && len(c.workersWithUnreadEnds()) > 0:
		return "workers have ended runs of the previous term that they have not listed yet"
	case !ready:
		return "earlier steps have not ended"
	case reserved:
		return "reserved room is not free yet"
	default:
		return "no room"
	}
}
