package instance

import (
	"context"
	"log/slog"
	"time"

	"coltsfootmux/internal/core/commit"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// recordCommit carries out what commit.Core decides for one record.
type recordCommit struct {
	inst *Instance
	// ctx ends when the outcome is decided.
	ctx    context.Context
	id     job.ID
	record external.Record
	// isRead reports by the job's status whether the owner has read the record.
	isRead func(job.Status) bool
	peers  []string
	events chan commitEvent
}

// commitEvent is an event for the core, with the error of a failed attempt.
type commitEvent struct {
	event commit.Event
	err   error
}

// run attempts to write the record until the outcome is decided. Errors: ErrRefused,
// ErrOutcomeUnknown.
func (c *recordCommit) run(core *commit.Core) error {
	var lastErr error
	actions := core.Start(boottime())
	for {
		for _, a := range actions {
			switch a := a.(type) {
			case commit.StartAttempt:
				go c.attempt(a)
			case commit.AskOwner:
				go c.askOwner()
			case commit.Finish:
				return commitError(a.Result, lastErr)
			}
		}
		timer := time.NewTimer(core.Next() - boottime())
		select {
		case e := <-c.events:
			if e.err != nil {
				lastErr = e.err
			}
			actions = core.Step(boottime(), e.event)
		case <-timer.C:
			actions = core.Wake(boottime())
		}
		timer.Stop()
	}
}

// send passes an event to run unless the outcome has been decided.
func (c *recordCommit) send(e commitEvent) {
	select {
	case c.events <- e:
	case <-c.ctx.Done():
	}
}

// attempt makes one attempt over a route.
func (c *recordCommit) attempt(t commit.StartAttempt) {
	topic := topicsJobs[t.Route.Topic]
	ev := commitEvent{}
	var result commit.Result
	if t.Route.Peer == commit.Direct {
		ev.err = c.inst.appendJobRecord(c.ctx, topic, c.record)
		result = appendResult(ev.err)
	} else {
		result, ev.err = c.inst.writeViaPeer(c.ctx, c.peers[t.Route.Peer-1], topic, c.record)
	}
	ev.event = commit.AttemptAnswer{Attempt: t.Attempt, Result: result}
	c.send(ev)
}

// askOwner asks the cell's owner whether it has read the record, and how fast the store answers
// there. Without an answer, nothing changes.
func (c *recordCommit) askOwner() {
	var q inquiry
	rep, err := c.inst.askJob(c.ctx, &q, c.id)
	answer := commit.OwnerAnswer{IsRead: err == nil && rep.Known && c.isRead(rep.Status), StoreTime: rep.StoreTime}
	switch {
	case err != nil && c.ctx.Err() == nil:
		evOwnerQueryFailed.Log(c.ctx, c.inst.logger, append(q.attrs(), slog.String("job", string(c.id)), slog.Any("error", err))...)
	case answer.IsRead:
		evConfirmedByOwner.Log(c.ctx, c.inst.logger, slog.String("job", string(c.id)), slog.String("state", rep.Status.String()))
	}
	if c.inst.owner.Load() == nil { // the owner would get its own mean
		c.inst.storeMonitor.recordOwnerResponseTime(rep.StoreTime)
	}
	c.send(commitEvent{event: answer})
}
