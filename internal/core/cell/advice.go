package cell

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/core/room"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

const (
	// maxAdviceWorkers is how many workers one request for advice names; the time to
	// the answer grows with their number.
	maxAdviceWorkers = 30
	// adviceRetryDelay is the time to the next request about a step after one failed.
	adviceRetryDelay = 400 * time.Millisecond
	// adviceOverdue is how long a request may stay without an answer before the next one is
	// made, as answers may be lost. maxAdviceInFlight bounds the requests that are not answered:
	// the service answers those of one machine in turn.
	adviceOverdue     = time.Second
	maxAdviceInFlight = 4
	// ticketMargin is left of a ticket's validity for the start to reach the worker.
	ticketMargin = 300 * time.Millisecond
)

// Advise asks the advice service which of some workers may run a step. One request is in flight
// at a time, and a few if their answers are overdue.
type Advise struct {
	Step    job.TaskID
	Workers []external.WorkerID
}

// AdviceAnswered is the answer to an Advise; Failed means that there was none.
type AdviceAnswered struct {
	Step   job.TaskID
	Asked  []external.WorkerID
	Advice external.Advice
	Failed bool
}

func (Advise) action()        {}
func (AdviceAnswered) event() {}

// ticket allows the tasks of a step on one incarnation of a worker for a limited time.
type ticket struct {
	// text is what the advice service issued; it is passed to the worker with the start.
	text        string
	expiresAt   time.Duration
	incarnation int
}

// ticketFor returns the text of a group's valid ticket for a worker, and whether
// there is one.
func (c *Core) ticketFor(g *taskGroup, w *worker) (string, bool) {
	t, ok := g.tickets[w.ID]
	if !ok || t.incarnation != w.incarnation || c.now.Mono >= t.expiresAt {
		return "", false
	}
	return t.text, true
}

// requestAdvice requests advice for the first waiting group for which there are workers
// to ask about.
func (c *Core) requestAdvice(p *pass) {
	overdue := c.now.Mono-c.lastAdviceAt >= adviceOverdue
	if c.adviceInFlight > 0 && !overdue || c.adviceInFlight >= maxAdviceInFlight {
		return
	}
	for _, g := range p.ready {
		if !g.occ.entry.job.Queue.NeedsAdvice || c.now.Mono < g.nextAdvice || !g.hasWaiting() {
			continue
		}
		ids := c.adviceCandidates(p, g)
		if len(ids) == 0 {
			continue
		}
		c.adviceInFlight++
		c.lastAdviceAt = c.now.Mono
		g.nextAdvice = c.now.Mono + adviceOverdue
		c.emit(Advise{Step: g.units[0].taskID(0), Workers: ids})
		return
	}
}

// adviceCandidates returns workers with room for the group about which the advice
// service has not answered yet, those with room for the most tasks first.
func (c *Core) adviceCandidates(p *pass, g *rankedGroup) []external.WorkerID {
	var ws []*worker
	for _, w := range p.pool(g.pool).workers {
		_, known := c.ticketFor(g.taskGroup, w)
		if known || c.now.Mono < g.deniedUntil[w.ID] || !w.usable(c.now.Mono) {
			continue
		}
		if w.available(g.rank.Priority).Covers(g.step.Resources()) && (g.step.Label == "" || w.hasLabel(g.step.Label)) {
			ws = append(ws, w)
		}
	}
	slices.SortStableFunc(ws, func(a, b *worker) int {
		return cmp.Compare(room.Tasks(b.available(g.rank.Priority), g.step), room.Tasks(a.available(g.rank.Priority), g.step))
	})
	var out []external.WorkerID
	for _, w := range ws[:min(len(ws), maxAdviceWorkers)] {
		out = append(out, w.ID)
	}
	return out
}

// adviceAnswered records an answer of the advice service. A worker without a ticket in it
// may not run the step. As that does not change, it is left out of requests for the
// next hour.
func (c *Core) adviceAnswered(ev AdviceAnswered) {
	c.adviceInFlight--
	c.placementDue = true
	u := c.unitOf(ev.Step)
	if u == nil {
		return
	}
	g := u.group
	if ev.Failed {
		g.nextAdvice = c.now.Mono + adviceRetryDelay
		return
	}
	g.nextAdvice = 0
	if g.tickets == nil {
		g.tickets = make(map[external.WorkerID]ticket)
		g.deniedUntil = make(map[external.WorkerID]time.Duration)
	}
	for _, id := range ev.Asked {
		w := c.workers[id]
		if w == nil {
			continue
		}
		text, ok := ev.Advice.Tickets[id]
		if !ok {
			g.deniedUntil[id] = c.now.Mono + time.Hour
			continue
		}
		g.tickets[id] = ticket{text: text, expiresAt: c.now.Mono + ev.Advice.ValidFor - ticketMargin, incarnation: w.incarnation}
	}
}
