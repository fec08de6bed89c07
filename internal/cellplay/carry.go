package cellplay

import (
	"context"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/external"
)

// do carries an action of the core out.
func (p *player) do(a cell.Action) {
	switch a := a.(type) {
	case cell.Start:
		p.tally.started(a)
		p.start(a.Order)
	case cell.Stop:
		p.tally.stopped(a)
		p.stop(a.Order)
	case cell.Hold:
		p.hold(a, p.now+a.Order.Wait)
	case cell.Persist:
		p.after(writeTime, func() { p.step(cell.Persisted{Batch: a.Batch}) })
	case cell.JobEnded:
		p.open--
		p.tally.ended(a)
	}
}

func (p *player) start(o external.StartOrder) {
	p.after(wayTime, func() {
		r, err := p.fleet.Start(context.Background(), o)
		p.after(wayTime, func() {
			p.step(cell.StartAnswered{Task: o.Task, Run: o.Run, Worker: o.Worker, Refusal: r.Refusal, Clock: r.Clock, Failure: cell.FailureOf(err)})
		})
	})
}

func (p *player) stop(o external.StopOrder) {
	p.after(wayTime, func() {
		r, err := p.fleet.Stop(context.Background(), o)
		p.after(wayTime, func() {
			p.step(cell.StopAnswered{Task: o.Task, Run: o.Run, Worker: o.Worker, Refusal: r.Refusal, Failure: cell.FailureOf(err)})
		})
	})
}

// hold asks again each slice until an end is listed or the wait is over.
func (p *player) hold(a cell.Hold, until time.Duration) {
	p.after(wayTime, func() {
		l, err := p.fleet.Hold(context.Background(), a.Order)
		if err == nil && len(l.Ended) == 0 && p.now < until {
			p.hold(a, until)
			return
		}
		p.after(wayTime, func() {
			p.step(cell.HoldAnswered{Worker: a.Order.Worker, Number: a.Number, Lists: l, Failure: cell.FailureOf(err)})
		})
	})
}
