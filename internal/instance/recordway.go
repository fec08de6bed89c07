package instance

import (
	"context"
	"log/slog"
	"time"

	"coltsfootmux/internal/core/commit"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// recordWay carries out what commit.Core decides for one record.
type recordWay struct {
	inst *Instance
	// ctx ends with the way.
	ctx    context.Context
	id     job.ID
	record external.Record
	// read says by the job's state whether the owner has read such a record.
	read   func(job.Status) bool
	peers  []string
	events chan wayEvent
}

// wayEvent is an event for the core, with the error of a try that failed.
type wayEvent struct {
	event commit.Event
	err   error
}

// run carries the record until its way has ended. Errors: ErrNotRun, ErrUnclear.
func (w *recordWay) run(core *commit.Core) error {
	var last error
	actions := core.Start(boottime())
	for {
		for _, a := range actions {
			switch a := a.(type) {
			case commit.StartAttempt:
				go w.try(a)
			case commit.AskOwner:
				go w.ask()
			case commit.Finish:
				return verdict(a.Result, last)
			}
		}
		timer := time.NewTimer(core.Next() - boottime())
		select {
		case e := <-w.events:
			if e.err != nil {
				last = e.err
			}
			actions = core.Step(boottime(), e.event)
		case <-timer.C:
			actions = core.Wake(boottime())
		}
		timer.Stop()
	}
}

// send hands an event to run unless the way has ended.
func (w *recordWay) send(e wayEvent) {
	select {
	case w.events <- e:
	case <-w.ctx.Done():
	}
}

// try makes one try over a route.
func (w *recordWay) try(t commit.StartAttempt) {
	topic := topicsJobs[t.Route.Topic]
	out := wayEvent{}
	var result commit.Result
	if t.Route.Peer == commit.Direct {
		out.err = w.inst.appendOnce(w.ctx, topic, w.record)
		result = resultOfAppend(out.err)
	} else {
		result, out.err = w.inst.writeOver(w.ctx, w.peers[t.Route.Peer-1], topic, w.record)
	}
	out.event = commit.AttemptAnswer{Attempt: t.Attempt, Result: result}
	w.send(out)
}

// ask asks the cell's owner whether it has read the record, and how fast the
// store is there. Without an answer the record's way goes on as it is.
func (w *recordWay) ask() {
	rep, err := w.inst.askJob(w.ctx, w.id)
	told := commit.OwnerAnswer{Known: err == nil && rep.Known && w.read(rep.Status), StoreTime: rep.StoreTime}
	switch {
	case err != nil && w.ctx.Err() == nil:
		evOwnerQueryFailed.Log(w.ctx, w.inst.logger, slog.String("job", string(w.id)), slog.Any("error", err))
	case told.Known:
		evConfirmedByOwner.Log(w.ctx, w.inst.logger, slog.String("job", string(w.id)), slog.String("state", rep.Status.String()))
	}
	if w.inst.owner.Load() == nil { // the owner would hear its own figure
		w.inst.store.recordOwnerAnswerTime(rep.StoreTime)
	}
	w.send(wayEvent{event: told})
}
