package fleet

import (
	"context"
	"fmt"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// AllowFunc says whether a step may run on a worker. The index of the task is 0.
type AllowFunc func(step job.TaskID, id external.WorkerID) bool

// stepOn is a step on a machine.
type stepOn struct {
	step   job.TaskID
	worker external.WorkerID
}

// ticket allows the tasks of a step on one incarnation of a machine until a time.
type ticket struct {
	text      string
	startedMS int64
	until     time.Duration
}

// Advise issues tickets for those of the workers that may run a step.
func (f *Fleet) Advise(step job.TaskID, workers []external.WorkerID) external.Advice {
	step.Index = 0
	a := external.Advice{Tickets: make(map[external.WorkerID]string), ValidFor: f.TicketTime}
	for _, id := range workers {
		m := f.byID[id]
		if m == nil || f.Allows != nil && !f.Allows(step, id) {
			continue
		}
		f.ticketsIssued++
		text := fmt.Sprintf("t%d", f.ticketsIssued)
		f.tickets[stepOn{step, id}] = append(f.tickets[stepOn{step, id}], ticket{text: text, startedMS: m.StartedMS, until: f.now + f.TicketTime})
		a.Tickets[id] = text
	}
	return a
}

// advises reports whether the advice service can be asked and allows a task on a machine.
func (f *Fleet) advises(t job.TaskID, id external.WorkerID) bool {
	t.Index = 0
	return !f.AdviceCut && (f.Allows == nil || f.Allows(t, id))
}

// hasTicket reports whether a start has the ticket that it needs.
func (f *Fleet) hasTicket(m *Machine, o external.StartOrder) bool {
	step := o.Task
	step.Index = 0
	for _, t := range f.tickets[stepOn{step, m.ID}] {
		if t.text == o.Ticket && t.startedMS == m.StartedMS && f.now < t.until {
			return true
		}
	}
	return false
}

// Advise implements external.AdviceService.
func (l *Live) Advise(_ context.Context, step job.TaskID, workers []external.WorkerID) (a external.Advice, err error) {
	l.With(func(f *Fleet) { a = f.Advise(step, workers) })
	return a, nil
}

var _ external.AdviceService = (*Live)(nil)
