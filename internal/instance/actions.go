package instance

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/termination"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// sortBySubmission sorts jobs by submission time, then by ID.
func sortBySubmission(jobs []job.Job) {
	slices.SortFunc(jobs, func(a, b job.Job) int {
		return cmp.Or(cmp.Compare(a.SubmittedMS, b.SubmittedMS), cmp.Compare(a.ID, b.ID))
	})
}

// perform performs one action of the core. Calls run in goroutines of their own.
func (o *owner) perform(a cell.Action) {
	l := o.inst.logger
	switch a := a.(type) {
	case cell.Start:
		countStart(a)
		evStart.Log(o.ctx, l, slog.String("task", a.Order.Task.String()), slog.Int64("run", a.Order.Run),
			slog.String("worker", string(a.Order.Worker)), slog.Int64("term", o.term),
			slog.Duration("confirmed", a.TermAge), slog.String("checkpoint", a.Order.Checkpoint), slog.Duration("waited", a.Waited), slog.Int("repeat", a.Resends))
		o.inst.spawn(func(context.Context) { o.start(a) })
	case cell.Stop:
		mStops.Inc()
		evStop.Log(o.ctx, l, slog.String("task", a.Order.Task.String()), slog.Int64("run", a.Order.Run),
			slog.String("worker", string(a.Order.Worker)), slog.String("reason", string(a.Reason)))
		o.inst.spawn(func(context.Context) { o.stop(a.Order) })
	case cell.Hold:
		o.inst.spawn(func(context.Context) { o.hold(a) })
	case cell.Pace:
		evPace.Log(o.ctx, l, slog.String("task", a.Order.Task.String()), slog.Int64("run", a.Order.Run),
			slog.String("worker", string(a.Order.Worker)), slog.Int("percent", a.Order.Percent))
		o.inst.spawn(func(context.Context) { o.pace(a.Order) })
	case cell.Advise:
		o.inst.spawn(func(context.Context) { o.advise(a) })
	case cell.Persist:
		o.inst.spawn(func(context.Context) { o.persist(a) })
	case cell.HigherTermSeen:
		o.fenced.Store(true)
		o.giveUpTerm()
	default:
		o.report(a)
	}
}

func countStart(a cell.Start) {
	if a.Resends > 0 {
		mStartsResent.Inc()
		return
	}
	mStarts.Inc()
	mTaskWait.Update(a.Waited.Seconds())
}

// report logs and counts what the core reports.
func (o *owner) report(a cell.Action) {
	l := o.inst.logger
	switch a := a.(type) {
	case cell.RunEnded:
		mRunsEnded.With(string(a.EndReason)).Inc()
		attrs := []slog.Attr{
			slog.String("task", a.Task.String()), slog.Int64("run", a.Run), slog.String("worker", string(a.Worker)),
			slog.String("how", string(a.EndReason)), slog.Duration("age", a.Age),
		}
		if a.Proof != termination.None {
			attrs = append(attrs, slog.String("proof", string(a.Proof)))
		}
		evRunEnded.Log(o.ctx, l, attrs...)
	case cell.JobEnded:
		mJobsEnded.With(a.Outcome.Status().String()).Inc()
		mJobTime.Update(a.Age.Seconds())
		evJobEnded.Log(o.ctx, l, slog.String("job", string(a.ID)), slog.String("outcome", a.Outcome.Status().String()),
			slog.Duration("age", a.Age), slog.Duration("objective", a.Objective),
			slog.Float64("stretch", a.Queue.Stretch), slog.Duration("fixed", time.Duration(a.Queue.ObjectiveMS)*time.Millisecond), slog.Duration("waited", a.History.MaxWait),
			slog.Int("displaced", a.History.Preempted), slog.Int("moved", a.History.Moved),
			slog.Int("failed", a.History.Failed), slog.Int("lost", a.History.Lost), slog.Int("crashed", a.History.Crashed))
	case cell.WorkerCrashed:
		mWorkerCrashes.Inc()
		evWorkerCrashed.Log(o.ctx, l, slog.String("worker", string(a.Worker)), slog.String("evidence", a.Evidence),
			slog.Int("runs", a.Runs), slog.Any("blamed", a.Blamed))
	case cell.TaskGivenUp:
		mTasksGivenUp.Inc()
		evTaskGivenUp.Log(o.ctx, l, slog.String("task", a.Task.String()), slog.Int("crashes", a.Crashes),
			slog.Bool("alone", a.Alone), slog.Duration("age", a.Age))
	case cell.AccountShareChanged:
		evAccountShare.Log(o.ctx, l, slog.String("account", a.Account), slog.Bool("over", a.Over),
			slog.Float64("usage_of_share", a.Ratio), slog.Float64("share", a.Share))
	case cell.PairChanged:
		o.reportPair(a)
	case cell.PlacedApart:
		mPlacedApart.Inc()
	case cell.UnitWaiting:
		evWaiting.Log(o.ctx, l, slog.String("task", a.Task.String()), slog.Int("tasks", a.Tasks), slog.Duration("waited", a.Waited),
			slog.Int("workers", a.Listed), slog.Int("usable", a.Usable), slog.Int("allowed", a.Allowed), slog.Int("large_enough", a.LargeEnough),
			slog.Bool("reserved", a.Reserved))
	case cell.JobStands:
		mJobsStood.With(string(a.Reason)).Inc()
		evJobStands.Log(o.ctx, l, slog.String("task", a.Task.String()), slog.Int("tasks", a.Tasks), slog.Duration("stood", a.Stood),
			slog.String("reason", string(a.Reason)), slog.Int64("term", o.term), slog.Int("workers_with_room", a.Room), slog.Int("usable", a.Usable))
	case cell.ConstraintRelaxed:
		mRelaxed.With(string(a.Reason)).Inc()
		evRelaxed.Log(o.ctx, l, slog.String("task", a.Task.String()), slog.Int("tasks", a.Tasks), slog.Duration("stood", a.Stood), slog.String("constraint", string(a.Reason)))
	case cell.JobsDeferred:
		evJobsDeferred.Log(o.ctx, l, slog.Int("jobs", a.Jobs), slog.Int("open_tasks", a.OpenUnits), slog.Int64("bytes", a.Used))
	case cell.JobsHeld:
		evHeld.Log(o.ctx, l, slog.Int("jobs", a.Jobs), slog.Int("silent", a.Silent), slog.Int("unread", a.Unread), slog.Duration("until", a.MaxWait))
	case cell.StartResolved:
		mUnconfirmedStarts.With(string(a.Result)).Inc()
		evStartResolved.Log(o.ctx, l, slog.String("task", a.Task.String()), slog.Int64("run", a.Run),
			slog.String("worker", string(a.Worker)), slog.String("how", string(a.Result)), slog.Duration("took", a.Took))
	case cell.GangStarted:
		mGangStartTime.Update(a.Took.Seconds())
		evGangStarted.Log(o.ctx, l, slog.String("task", a.Task.String()), slog.Int64("run", a.Run), slog.Int("tasks", a.Tasks), slog.Duration("took", a.Took))
	case cell.Alarm:
		mAlarms.With(string(a.Code)).Inc()
		evAlarm.Log(o.ctx, l, slog.String("code", string(a.Code)), slog.String("job", string(a.Job)), slog.String("account", a.Account),
			slog.Duration("waited", a.Waited), slog.Int("have", a.Have), slog.Int("need", a.Need))
	case cell.SpeedsDiffer, cell.WorkerSpeedLearned:
		o.reportSpeed(a)
	case cell.GangsClaimRoom:
		evGangsClaimRoom.Log(o.ctx, l, slog.String("pool", a.Pool), slog.Bool("begin", a.Begin), slog.String("job", string(a.Job)), slog.Int("tasks", a.Tasks))
	case cell.WorkerStateChanged:
		evWorker.Log(o.ctx, l, slog.String("worker", string(a.Worker)), slog.String("note", a.Change), slog.Int("runs", a.Runs))
	}
}

func (o *owner) start(a cell.Start) {
	order := a.Order
	sentAt := boottime()
	r, err := o.sendStart(a)
	if err != nil || r.Refusal != external.RefusedNone {
		mStartsFailed.Inc()
		evStartFailed.Log(o.ctx, o.inst.logger, slog.String("task", order.Task.String()), slog.Int64("run", order.Run),
			slog.String("worker", string(order.Worker)), slog.String("refusal", string(r.Refusal)),
			slog.Duration("left_after", sentAt-a.DecidedAt), slog.Duration("took", boottime()-sentAt), slog.Any("error", err))
	}
	o.step(cell.StartAnswered{
		Task: order.Task, Run: order.Run, Worker: order.Worker,
		Refusal: r.Refusal, Clock: r.Clock, Failure: cell.FailureOf(err),
	})
}

// sendStart sends a start unless the term, or the start of its gang, has become too old since it was
// decided. Errors: those of external.Workers.
func (o *owner) sendStart(a cell.Start) (external.OrderResult, error) {
	ctx, cancel := o.orderContext(orderTimeout)
	defer cancel()
	if !o.mayStart() {
		return external.OrderResult{}, errTermTooOld
	}
	if a.SendBy != 0 && boottime() > a.SendBy {
		return external.OrderResult{}, errGangTooLate
	}
	ended := o.work.callBegan()
	r, err := o.inst.Workers.Start(ctx, a.Order)
	ended(err)
	return r, err
}

func (o *owner) stop(order external.StopOrder) {
	ctx, cancel := o.orderContext(orderTimeout)
	defer cancel()
	ended := o.work.callBegan()
	r, err := o.inst.Workers.Stop(ctx, order)
	ended(err)
	if err != nil || r.Refusal != external.RefusedNone {
		evStopFailed.Log(o.ctx, o.inst.logger, slog.String("task", order.Task.String()), slog.Int64("run", order.Run),
			slog.String("worker", string(order.Worker)), slog.String("refusal", string(r.Refusal)), slog.Any("error", err))
	}
	o.step(cell.StopAnswered{Task: order.Task, Run: order.Run, Worker: order.Worker, Refusal: r.Refusal, Failure: cell.FailureOf(err)})
}

// pace sends one order. It does not retry: the core repeats the orders that the worker's
// measurements still call for.
func (o *owner) pace(order external.PaceOrder) {
	ctx, cancel := o.orderContext(orderTimeout)
	defer cancel()
	r, err := o.inst.Workers.Pace(ctx, order)
	if err != nil || r.Refusal != external.RefusedNone {
		evPaceFailed.Log(o.ctx, o.inst.logger, slog.String("task", order.Task.String()), slog.Int64("run", order.Run),
			slog.String("worker", string(order.Worker)), slog.String("refusal", string(r.Refusal)), slog.Any("error", err))
	}
}

// advise asks the advice service. A deployment without one has no queues that need
// advice.
func (o *owner) advise(a cell.Advise) {
	ev := cell.AdviceAnswered{Step: a.Step, Asked: a.Workers, Failed: true}
	defer func() { o.step(ev) }()
	if o.inst.AdviceService == nil {
		evAdvice.Log(o.ctx, o.inst.logger, slog.String("step", a.Step.String()), slog.String("error", "no advice service in the settings"))
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, adviceTimeout)
	defer cancel()
	advice, err := o.inst.AdviceService.Advise(ctx, a.Step, a.Workers)
	evAdvice.Log(o.ctx, o.inst.logger, slog.String("step", a.Step.String()), slog.Int("asked", len(a.Workers)),
		slog.Int("good", len(advice.Tickets)), slog.Duration("valid", advice.ValidFor), slog.Any("error", err))
	ev.Advice, ev.Failed = advice, err != nil
}

func (o *owner) hold(a cell.Hold) {
	ctx, cancel := o.orderContext(a.Order.Wait + holdTimeout)
	defer cancel()
	ended := o.work.callBegan()
	l, err := o.inst.Workers.Hold(ctx, a.Order)
	ended(err)
	if err != nil {
		mHoldsFailed.Inc()
		evHoldFailed.Log(o.ctx, o.inst.logger, slog.String("worker", string(a.Order.Worker)), slog.Any("error", err))
	}
	o.step(cell.HoldAnswered{Worker: a.Order.Worker, Number: a.Number, Lists: l, Failure: cell.FailureOf(err)})
}
