package instance

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/core/commit"
	"coltsfootmux/internal/core/storetime"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// writeJobRecord writes a record of a job to one of topicsJobs, over this process's own
// connection or through a peer. Repeats are harmless, even in several topics: the first
// record of a job counts. isRead reports by a job's status whether the owner has read such
// a record. Errors: ErrRefused, ErrOutcomeUnknown.
func (i *Instance) writeJobRecord(ctx context.Context, id job.ID, r external.Record, isRead func(job.Status) bool) error {
	peers, order := i.peers(), topicOrder(id)
	core := commit.New(deadlineOf(ctx), commit.Options{
		Topics: order, DirectTopics: i.storeMonitor.availableAmong(topicsJobs, order), Peers: len(peers), StoreTime: i.storeMonitor.meanResponseTime(),
	})
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	c := &recordCommit{inst: i, ctx: workCtx, id: id, record: r, isRead: isRead, peers: peers, events: make(chan commitEvent)}
	return c.run(core)
}

// commitError converts a result into an error that holds the text of the last error.
func commitError(r commit.Result, lastErr error) error {
	text := "no answer"
	if lastErr != nil {
		text = lastErr.Error()
	}
	switch r {
	case commit.Done:
		return nil
	case commit.NotWritten:
		return eris.Wrap(ErrRefused, text)
	default:
		return eris.Wrap(ErrOutcomeUnknown, text)
	}
}

// deadlineOf returns the context's deadline on the boot time clock.
func deadlineOf(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return boottime() + storetime.MinAppendTime
	}
	return boottime() + time.Until(d)
}

// appendJobRecord appends a record of a job and notifies the owner.
func (i *Instance) appendJobRecord(ctx context.Context, t external.Topic, r external.Record) error {
	end, err := i.store.Append(ctx, external.Append{Topic: t, Records: []external.Record{r}})
	if err == nil {
		i.notifyAppended(t, end)
	}
	return err
}

func appendResult(err error) commit.Result {
	switch {
	case err == nil:
		return commit.Done
	case errors.Is(err, external.ErrNotExecuted), errors.Is(err, external.ErrInvalidRequest):
		return commit.NotWritten
	default:
		return commit.OutcomeUnknown
	}
}

// writeViaPeer asks a peer to append the record.
func (i *Instance) writeViaPeer(ctx context.Context, addr string, t external.Topic, r external.Record) (commit.Result, error) {
	inner, cancel := context.WithTimeout(ctx, i.storeMonitor.appendTimeout()+peerTimeout)
	defer cancel()
	rep, err := link.Call[wire.RecordWrite, wire.RecordWriteReply](inner, i.pool, addr, wire.KindRecord, wire.RecordWrite{Topic: string(t), Key: r.Key, Value: r.Value})
	i.recordPeerAnswer(ctx, addr, err)
	switch {
	case errors.Is(err, link.ErrNotExecuted):
		return commit.NotWritten, err
	case err != nil:
		return commit.OutcomeUnknown, err
	case rep.Appended:
		return commit.Done, nil
	case rep.Refused:
		return commit.NotWritten, eris.New("peer " + addr + ": " + rep.Reason)
	default:
		return commit.OutcomeUnknown, eris.New("peer " + addr + ": " + rep.Reason)
	}
}

// onRecordWrite appends a record for a peer that can't reach the store.
func (i *Instance) onRecordWrite(ctx context.Context, _ link.Peer, q wire.RecordWrite) (wire.RecordWriteReply, error) {
	t := external.Topic(q.Topic)
	if !slices.Contains(topicsJobs, t) {
		return wire.RecordWriteReply{Refused: true, Reason: "not a topic of jobs: " + q.Topic}, nil
	}
	record := external.Record{Key: q.Key, Value: q.Value}
	if rec, err := decodeJobRecord(record); err != nil || rec == (jobRecord{}) {
		evRecordInvalid.Log(ctx, i.logger, slog.String("topic", q.Topic), slog.String("key", q.Key), slog.String("from", "a peer"), slog.Any("error", err))
		return wire.RecordWriteReply{Refused: true, Reason: "not a valid job record: " + q.Key}, nil
	}
	if !i.storeMonitor.available(t) {
		return wire.RecordWriteReply{Refused: true, Reason: "the store does not answer this instance either for " + q.Topic}, nil
	}
	err := i.appendJobRecord(ctx, t, record)
	if err == nil {
		return wire.RecordWriteReply{Appended: true}, nil
	}
	return wire.RecordWriteReply{Refused: appendResult(err) == commit.NotWritten, Reason: err.Error()}, nil
}
