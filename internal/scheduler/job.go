package scheduler

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/wire"
)

// recordJob writes a job's record; the job is accepted only once that is done.
func (s *Scheduler) recordJob(ctx context.Context, g model.GroupID, sub wire.Submit, reply chan wire.SubmitReply) {
	ctx, cancel := context.WithTimeout(ctx, s.o.Timing.RecordTimeout)
	defer cancel()
	rec, err := encode("job-"+string(sub.Work.Key), recordJob, jobRecord{Work: sub.Work, Sum: sub.Sum})
	if err == nil {
		_, err = s.o.Log.Append(ctx, shard(platform.StreamJobs, g), rec)
	}
	s.post(recordedMsg{submit: sub, reply: reply, err: err})
}

// recorded answers the caller of a job and lets the job begin.
func (l *loop) recorded(m recordedMsg) {
	k := m.submit.Work.Key
	if m.err != nil {
		m.reply <- wire.SubmitReply{Result: notRecorded(k, m.err, l.s.o.Timing.SuspectAfter)}
		return
	}
	m.reply <- wire.SubmitReply{Result: model.Result{Key: k, Reason: model.ReasonOK}}
	l.resume(jobRecord{Work: m.submit.Work, Sum: m.submit.Sum})
}

// resume hands an accepted job to the ledger with nobody waiting.
func (l *loop) resume(j jobRecord) {
	l.jobs.add(now(), j)
	l.stepLedger(ledger.Accepted{Work: j.Work, Sum: j.Sum})
}

// refreshJobs appends open jobs anew that the log would forget.
func (l *loop) refreshJobs() {
	for _, j := range l.jobs.due(now()) {
		rec, err := encode("", recordJob, j)
		if err == nil {
			err = l.s.o.Log.Enqueue(shard(platform.StreamJobs, l.maps.Group(j.Work.Key)), rec)
		}
		if err != nil {
			evRecordFailed.Log(l.ctx, l.s.o.Logger, slog.Any("error", err))
		}
	}
}

// jobRecord is a job as accepted, on the log.
type jobRecord struct {
	Work model.Work `cbor:"1,keyasint"`
	Sum  uint64     `cbor:"2,keyasint"`
}

// notRecorded says that a job is not accepted. It is proved not to run only when
// the log did not take the record for certain.
func notRecorded(k model.Key, err error, after time.Duration) model.Result {
	r := model.Result{Key: k, Outcome: model.OutcomeUnknown, Reason: model.ReasonNotRecorded, RetryAfter: after}
	if errors.Is(err, platform.ErrNotSent) || errors.Is(err, platform.ErrUnavailable) {
		r.Outcome = model.OutcomeNotRun
	}
	return r
}
