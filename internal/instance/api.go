package instance

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/core/recordset"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/wire"
)

// Request is what a caller's request is authorized by.
type Request struct {
	Host string
	Path string
	Key  string
}

// Access is what a request may do.
type Access struct {
	Route   *job.Route
	Account string
	// PathSuffix is the path after the route's prefix.
	PathSuffix string
	// MaxBody limits the request's body, in bytes; 0 means no limit.
	MaxBody int64
}

// Authorize finds the route of a request and the account of its key. Errors:
// ErrNoPolicy, ErrNoRoute, ErrUnknownKey.
func (i *Instance) Authorize(req Request) (Access, error) {
	p := i.policy.Load()
	if p == nil {
		return Access{}, ErrNoPolicy
	}
	r := p.policy.Match(req.Host, req.Path)
	if r == nil {
		i.logDenied(req, p.policy.Version, "no route")
		return Access{}, ErrNoRoute
	}
	a := Access{Route: r, PathSuffix: req.Path[len(r.Prefix):], MaxBody: p.policy.MaxBodyBytes}
	account := p.policy.AccountByKey(req.Key)
	if account == nil && !r.Public {
		i.logDenied(req, p.policy.Version, "unknown key")
		return Access{}, ErrUnknownKey
	}
	if account != nil {
		a.Account = account.Name
	}
	return a, nil
}

// logDenied logs that a version of the policy does not allow a request.
func (i *Instance) logDenied(req Request, version int64, reason string) {
	mDenied.With(reason).Inc()
	evDenied.Log(i.ctx, i.logger, slog.String("reason", reason), slog.String("host", req.Host), slog.String("path", req.Path),
		slog.Int64("version", version), slog.Duration("age", i.policyAge()))
}

// Submit accepts a job; the job is durable when Submit returns without an error.
// Errors: after job.ErrInvalid and ErrRefused the job never runs, after
// ErrOutcomeUnknown it may.
func (i *Instance) Submit(ctx context.Context, j *job.Job) error {
	if err := j.CheckNew(); err != nil {
		i.recordRefusal(ctx, j, err)
		return err
	}
	value, err := encodeRecord(j)
	if err != nil {
		i.recordRefusal(ctx, j, err)
		return eris.Wrap(job.ErrInvalid, err.Error())
	}
	record := external.Record{Key: keySubmission + string(j.ID), Value: value}
	if !recordset.FitsRecord(i.Settings.Store, record) {
		err := eris.Wrapf(job.ErrInvalid, "the job takes %d bytes of a record, the store takes %d", external.RecordSize(record), i.Settings.Store.RecordBytes)
		i.recordRefusal(ctx, j, err)
		return err
	}
	known, err := i.shed(ctx, j)
	if err == nil && !known {
		known, err = i.admit(ctx, j)
	}
	if err != nil {
		i.recordRefusal(ctx, j, err)
		return err
	}
	if known {
		return nil
	}
	began := boottime()
	err = i.writeJobRecord(ctx, j.ID, record, isSubmitted)
	i.admission.written(i, j.ID, err)
	took := slog.Duration("took", boottime()-began)
	switch {
	case err == nil:
		mAccepted.Inc()
		mAcceptTime.Update((boottime() - began).Seconds())
		evAccepted.Log(ctx, i.logger, slog.String("job", string(j.ID)), slog.String("queue", j.Queue.Name),
			slog.String("account", j.Account), slog.Int("steps", len(j.Steps)), took)
	case errors.Is(err, ErrRefused):
		i.recordRefusal(ctx, j, err)
	default:
		mUnconfirmed.Inc()
		evUnconfirmed.Log(ctx, i.logger, slog.String("job", string(j.ID)), slog.String("queue", j.Queue.Name), slog.Any("error", err), took)
	}
	return err
}

// isSubmitted reports whether a job's status shows that its submission has been read.
func isSubmitted(s job.Status) bool { return s != job.Unknown }

// isEnded reports whether a job's status leaves a cancellation nothing to do.
func isEnded(s job.Status) bool {
	return s == job.StatusCancelled || s == job.StatusComplete || s == job.StatusFailed
}

func (i *Instance) recordRefusal(ctx context.Context, j *job.Job, err error) {
	mRefused.Inc()
	evRefused.Log(ctx, i.logger, slog.String("job", string(j.ID)), slog.String("queue", j.Queue.Name), slog.Any("error", err))
}

// Cancel cancels a job; the cancellation is durable when Cancel returns without an
// error. Errors: ErrRefused if nothing was done, ErrOutcomeUnknown.
func (i *Instance) Cancel(ctx context.Context, id job.ID) error {
	err := i.writeJobRecord(ctx, id, external.Record{Key: keyCancellation + string(id), Value: []byte{1}}, isEnded)
	if err != nil {
		mUnconfirmed.Inc()
		evUnconfirmed.Log(ctx, i.logger, slog.String("cancel", string(id)), slog.Any("error", err))
		return err
	}
	mCancelled.Inc()
	evCancelled.Log(ctx, i.logger, slog.String("job", string(id)))
	return nil
}

// Status returns the status of a job. Errors: ErrNoJob, ErrUnavailable.
func (i *Instance) Status(ctx context.Context, id job.ID) (job.Status, error) {
	var q inquiry
	r, err := i.askJob(ctx, &q, id)
	if err != nil || !r.Known {
		mStatusUnavailable.Inc()
		evStatusUnavailable.Log(ctx, i.logger, append(q.attrs(), slog.String("job", string(id)), slog.Any("error", err))...)
		return job.Unknown, ErrUnavailable
	}
	mStatusAnswered.Inc()
	evStatusAnswered.Log(ctx, i.logger, slog.String("job", string(id)), slog.String("state", r.Status.String()))
	if r.Status == job.Unknown {
		return job.Unknown, ErrNoJob
	}
	return r.Status, nil
}

// Pending returns the number of a queue's jobs that have not started. Error:
// ErrUnavailable.
func (i *Instance) Pending(ctx context.Context, queue string) (int, error) {
	var q inquiry
	r, err := i.askPending(ctx, &q, queue)
	if err != nil || !r.Known {
		evStatusUnavailable.Log(ctx, i.logger, append(q.attrs(), slog.String("queue", queue), slog.Any("error", err))...)
		return 0, ErrUnavailable
	}
	return r.Jobs, nil
}

// job returns a job's status as far as the owner can tell: it says that a job does not
// exist only if it would have read the submission.
func (o *owner) job(id job.ID) wire.JobReply {
	r := wire.JobReply{StoreTime: o.inst.storeMonitor.meanResponseTime()}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core == nil {
		return r
	}
	r.Status = o.core.Status(id)
	r.Known = r.Status != job.Unknown || o.jobsReadRecently()
	return r
}

func (o *owner) pending(queue string) wire.PendingReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core == nil || !o.jobsReadRecently() {
		return wire.PendingReply{}
	}
	return wire.PendingReply{Known: true, Jobs: o.core.Pending(queue)}
}

// jobsReadRecently reports whether each of topicsJobs was read to its end, and the term
// confirmed, within jobsReadMaxAge. After a pause of the process reads may end with answers from
// before it; a confirmation counts from when it was asked for.
func (o *owner) jobsReadRecently() bool {
	now := boottime()
	if !o.core.TermConfirmedWithin(instant(), jobsReadMaxAge) {
		return false
	}
	return !slices.ContainsFunc(o.jobsReadAt, func(at time.Duration) bool { return now-at >= jobsReadMaxAge })
}
