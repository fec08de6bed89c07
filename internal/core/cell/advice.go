package cell

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// Figures of advice.
const (
	// maxAdviceWorkers is how many workers one question names; the answer's time
	// grows with them.
	maxAdviceWorkers = 30
	// adviceRetryDelay lies between two questions about a step whose answer failed.
	adviceRetryDelay = 400 * time.Millisecond
	// ticketMargin is left of a ticket's time for the start's way.
	ticketMargin = 300 * time.Millisecond
)

// Advise asks which of some workers may run a step. One question is open at a time.
type Advise struct {
	Step    job.TaskID
	Workers []external.WorkerID
}

// AdviceAnswered is the answer to an Advise; Failed says that there was none.
type AdviceAnswered struct {
	Step   job.TaskID
	Asked  []external.WorkerID
	Advice external.Advice
	Failed bool
}

func (Advise) action()        {}
func (AdviceAnswered) event() {}

// ticket allows the tasks of a step on one life of a worker for a time.
type ticket struct {
	text        string
	until       time.Duration
	incarnation int
}

// ticketFor gives the ticket that holds for a group on a worker.
func (c *Core) ticketFor(g *taskGroup, w *worker) (string, bool) {
	t, ok := g.tickets[w.ID]
	if !ok || t.incarnation != w.incarnation || c.now.Mono >= t.until {
		return "", false
	}
	return t.text, true
}

// askAdviser asks for advice on the first group that waits without a worker it may use.
func (c *Core) askAdviser(p *pass) {
	if c.adviceInFlight {
		return
	}
	for _, g := range p.ready {
		if !g.occ.entry.job.Queue.NeedsAdvice || c.now.Mono < g.nextAdvice || !g.hasWaiting() {
			continue
		}
		names := c.adviceCandidates(p, g)
		if len(names) == 0 {
			continue
		}
		c.adviceInFlight = true
		c.emit(Advise{Step: g.units[0].taskID(0), Workers: names})
		return
	}
}

// adviceCandidates gives workers with room for the group of which nothing is known,
// those with the most room first.
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
		return cmp.Compare(tasksThatFit(b.available(g.rank.Priority), g.step), tasksThatFit(a.available(g.rank.Priority), g.step))
	})
	var out []external.WorkerID
	for _, w := range ws[:min(len(ws), maxAdviceWorkers)] {
		out = append(out, w.ID)
	}
	return out
}

// adviceAnswered takes an answer in. Who is not named may not run the step, which does
// not change; so it is not asked about again.
func (c *Core) adviceAnswered(ev AdviceAnswered) {
	c.adviceInFlight = false
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
		g.tickets[id] = ticket{text: text, until: c.now.Mono + ev.Advice.ValidFor - ticketMargin, incarnation: w.incarnation}
	}
}
