package partitionsim

import (
	"cmp"
	"context"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// orderTimeout bounds a call to a worker, in addition to its wait.
const orderTimeout = 700 * time.Millisecond

// perform performs one action of the cell's core.
func (o *owner) perform(a cell.Action) {
	switch a := a.(type) {
	case cell.Start:
		o.inst.sim.checkStart(o, a.Order)
		o.sendLater(func() { o.start(a) })
	case cell.Stop:
		o.sendLater(func() { o.stop(a.Order) })
	case cell.Hold:
		o.sendLater(func() { o.hold(a) })
	case cell.Pace:
		o.callWorker(a.Order.Worker, orderTimeout, func(reply func()) {
			_, _ = o.inst.sim.fleet.Pace(context.Background(), a.Order)
			reply()
		}, func(cell.Failure) {})
	case cell.Persist:
		o.persist(a)
	case cell.HigherTermSeen:
		o.giveUpTerm()
	case cell.RunEnded:
		o.inst.sim.tracef("%s ends %v run %d on %s: %s %s", o.inst.name(), a.Task, a.Run, a.Worker, a.EndReason, a.Proof)
	}
}

// maxSendDelay is the longest time between the decision of a call and the call, in which the
// process may be paused.
const maxSendDelay = 2 * time.Millisecond

// sendLater sends an order unless the term is over by then.
func (o *owner) sendLater(send func()) {
	o.inst.deliver(o.inst.sim.between(0, maxSendDelay), func() {
		o.checkTermAfterPause()
		if !o.ended() {
			send()
		}
	})
}

// callWorker plays a call to a worker. A call does not outlive the process that it reached.
func (o *owner) callWorker(id external.WorkerID, timeout time.Duration, execute func(reply func()), done func(cell.Failure)) {
	o.inst.sim.send(o.workerCall(id, timeout, execute, done))
}

// orderRun plays an order about a task's run.
func (o *owner) orderRun(t job.TaskID, id external.WorkerID, execute func(reply func()), done func(cell.Failure)) {
	c := o.workerCall(id, orderTimeout, execute, done)
	c.delayed = func() { o.inst.sim.delayedOrders[t.Job] = true }
	o.inst.sim.send(c)
}

func (o *owner) workerCall(id external.WorkerID, timeout time.Duration, execute func(reply func()), done func(cell.Failure)) call {
	return call{from: o.inst, to: host(id), timeout: timeout, execute: execute, done: func(r callResult) {
		switch r {
		case callRefused:
			done(cell.FailureConnectionRefused)
		case callUnknown:
			done(cell.FailureOutcomeUnknown)
		default:
			done(cell.FailureNone)
		}
	}}
}

func (o *owner) start(a cell.Start) {
	order := a.Order
	if a.SendBy > 0 && o.inst.clock() > a.SendBy {
		o.step(cell.StartAnswered{Task: order.Task, Run: order.Run, Worker: order.Worker, Failure: cell.FailureNotSent})
		return
	}
	if !o.core.MayStart(o.inst.instant()) {
		o.step(cell.StartAnswered{Task: order.Task, Run: order.Run, Worker: order.Worker, Failure: cell.FailureNotExecuted})
		return
	}
	o.inst.sim.checkStart(o, order)
	o.inst.sim.checkLease(o, order.Worker)
	o.inst.sim.tracef("%s orders start of %v run %d on %s", o.inst.name(), order.Task, order.Run, order.Worker)
	var r external.OrderResult
	var err error
	execute := func(reply func()) {
		r, err = o.inst.sim.fleet.Start(context.Background(), order)
		reply()
	}
	o.orderRun(order.Task, order.Worker, execute, func(f cell.Failure) {
		o.step(cell.StartAnswered{Task: order.Task, Run: order.Run, Worker: order.Worker, Refusal: r.Refusal, Clock: r.Clock, Failure: cmp.Or(f, cell.FailureOf(err))})
	})
}

func (o *owner) stop(order external.StopOrder) {
	var r external.OrderResult
	var err error
	execute := func(reply func()) {
		r, err = o.inst.sim.fleet.Stop(context.Background(), order)
		reply()
	}
	o.orderRun(order.Task, order.Worker, execute, func(f cell.Failure) {
		o.step(cell.StopAnswered{Task: order.Task, Run: order.Run, Worker: order.Worker, Refusal: r.Refusal, Failure: cmp.Or(f, cell.FailureOf(err))})
	})
}

// hold plays a hold. If its answer may wait, the worker renews the lease at once and answers
// after a random part of that time, as a run may end at any moment.
func (o *owner) hold(a cell.Hold) {
	s := o.inst.sim
	if a.Order.LeaseEnd > 0 {
		s.checkLease(o, a.Order.Worker)
	}
	var l external.HoldResult
	var err error
	carryOut := func() { l, err = s.fleet.Hold(context.Background(), a.Order) }
	execute := func(reply func()) {
		carryOut()
		if err != nil || len(l.Ended) > 0 || a.Order.Wait == 0 {
			reply()
			return
		}
		incarnation := l.StartedMS
		s.schedule(s.between(0, a.Order.Wait), func() {
			if s.fleet.Machine(a.Order.Worker).StartedMS != incarnation {
				return
			}
			carryOut()
			reply()
		})
	}
	o.callWorker(a.Order.Worker, a.Order.Wait+orderTimeout, execute, func(f cell.Failure) {
		o.step(cell.HoldAnswered{Worker: a.Order.Worker, Number: a.Number, Lists: l, Failure: cmp.Or(f, cell.FailureOf(err))})
	})
}
