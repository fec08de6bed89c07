package instance

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"coltsfootmux/internal/core/shed"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/wire"
)

func init() {
	gauge("coltsfootmux_refused_level", "percent", "how much of the new jobs the cell's owner has refused: 100 for each priority of which all are", func(i *Instance) float64 {
		return float64(i.refusedLevel())
	})
}

// OverloadError is the refusal of a job that the cell's owner has no processor time to start. It wraps
// ErrOverloaded.
type OverloadError struct {
	// RetryAfter is when the answer may differ.
	RetryAfter time.Duration
}

func (e *OverloadError) Error() string {
	return fmt.Sprintf("%v; retry after %v", ErrOverloaded, e.RetryAfter)
}

// Unwrap returns ErrOverloaded.
func (e *OverloadError) Unwrap() error { return ErrOverloaded }

// shed refuses a job that the owner has no processor time to start, unless the owner knows it from an earlier
// attempt. If the owner does not answer, the job is not refused. Error: *OverloadError.
func (i *Instance) shed(ctx context.Context, j *job.Job) (known bool, err error) {
	level, p := i.refusedLevel(), i.policy.Load()
	if level == 0 || p == nil {
		return false, nil
	}
	rank := p.policy.LessUrgent(j.Queue.Priority)
	if !level.Refuses(j.ID, rank) {
		return false, nil
	}
	r, err := i.askOwnerForJob(ctx, j.ID)
	if err != nil || !r.Known {
		return false, nil
	}
	if r.Status != job.Unknown {
		return true, nil
	}
	mRefusedShed.Inc()
	return false, &OverloadError{RetryAfter: level.RetryAfter(j.ID, rank)}
}

// refusedLevel returns how much new work the owner has all instances refuse.
func (i *Instance) refusedLevel() shed.Level { return i.latestTermRecord().Refused }

// askOwnerForJob asks the owner alone for the state of a job.
func (i *Instance) askOwnerForJob(ctx context.Context, id job.ID) (wire.JobReply, error) {
	if o := i.owner.Load(); o != nil {
		return o.job(id), nil
	}
	return askOwner[wire.JobQuery, wire.JobReply](ctx, i, wire.KindJob, wire.JobQuery{ID: id})
}

// refusedByOwner returns how much new work this instance has all refuse, if it owns the cell.
func (i *Instance) refusedByOwner() shed.Level {
	if o := i.owner.Load(); o != nil {
		return shed.Level(o.refusedLevel.Load())
	}
	return 0
}

// adjustShedding decides anew how much new work is refused.
func (o *owner) adjustShedding() {
	p := o.inst.policy.Load()
	if p == nil {
		return
	}
	o.mu.Lock()
	ready := o.core != nil
	var delay time.Duration
	if ready {
		delay = o.core.StartDelay()
	}
	o.mu.Unlock()
	if !ready {
		return
	}
	before := shed.Level(o.refusedLevel.Load())
	after := o.shed.Step(boottime(), delay, p.policy.PriorityCount())
	o.refusedLevel.Store(int64(after))
	if (before == 0) != (after == 0) {
		evShedding.Log(o.ctx, o.inst.logger, slog.Int64("term", o.term), slog.Int("level", int(after)), slog.Duration("start_delay", delay), slog.Duration("lag", o.inst.lag.now()))
	}
}

// RetryAfter returns when a caller whose request was refused with err may try again; 0 if it is not known.
func RetryAfter(err error) time.Duration {
	var overload *OverloadError
	if errors.As(err, &overload) {
		return overload.RetryAfter
	}
	return 0
}
