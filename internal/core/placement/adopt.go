package placement

import (
	"time"

	"coltsfootmux/internal/model"
)

// wholeWithin is the number of lease times to live within which all members of
// an adopted gang must be found, or those that run are stopped.
const wholeWithin = 3

// adopt takes a lease found on a worker into the books.
func (c *Core) adopt(r Running) {
	w, ok := c.workers[r.Worker]
	if !ok {
		return
	}
	if _, known := c.tasks[r.Leased.Lease]; known {
		return
	}
	l := r.Leased.Label
	j, ok := c.jobs[l.Key]
	if ok && j.state == jobWaiting {
		c.dequeue(j)
		c.endDrain(j)
		ok = false
	}
	if ok && j.state == jobReclaiming {
		c.dropPlan(j)
		ok = false
	}
	if !ok {
		j = c.adopted(r, j)
	}
	if j.state != jobRunning {
		return
	}
	t := &task{
		lease: r.Leased.Lease, job: j, member: l.Member, worker: w,
		shape: r.Leased.Shape, firm: c.firm(j),
	}
	j.tasks = append(j.tasks, t)
	j.live++
	j.found++
	c.tasks[t.lease] = t
	w.addTask(t)
	c.reindex(w.cell)
}

// adopted makes the job of a lease that was found. Work that was handed in
// before its lease was found keeps its body.
func (c *Core) adopted(r Running, known *job) *job {
	l := r.Leased.Label
	j := known
	if j == nil {
		c.seq++
		j = &job{
			work: model.Work{
				Key: l.Key, Account: l.Account, Kind: l.Kind, Class: l.Class,
				Idempotent: l.Idempotent, Members: max(1, l.Members),
				Shape: r.Leased.Shape, Preemptible: l.Preemptible, Detached: l.Detached,
			},
			acc: c.account(l.Account), class: l.Class, group: l.Group,
			seq: c.seq, adopted: true,
		}
		c.jobs[l.Key] = j
	}
	j.attempt = max(1, l.Attempt)
	j.first = j.attempt
	j.found = 0
	j.state = jobRunning
	j.ran = true
	j.startAt = c.now.Add(-r.Leased.Age)
	j.round++
	c.running++
	if j.work.Members > 1 {
		c.after(c.wholeBound(), timer{kind: timerWhole, key: l.Key, round: j.round})
	}
	return j
}

func (c *Core) wholeBound() time.Duration { return wholeWithin * c.conf.def.LeaseTTL.D() }

// gangDue stops an adopted gang whose members were not all found.
func (c *Core) gangDue(t timer) {
	j, ok := c.jobs[t.key]
	if !ok || j.round != t.round || j.state != jobRunning {
		return
	}
	if j.elsewhere() && !j.stopping {
		j.failed = true
		c.stop(j, model.ReasonGangIncomplete)
	}
}
