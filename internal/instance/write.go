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

// write gets a record of a job into one of topicsJobs, over this process's own
// connection or a peer's. Repeats are harmless, also in several topics: the
// first record of a job counts. read says by a job's state whether its owner has
// read such a record. Errors: ErrNotRun, ErrUnclear.
func (i *Instance) write(ctx context.Context, id job.ID, r external.Record, read func(job.Status) bool) error {
	peers, order := i.peers(), topicOrder(id)
	core := commit.New(deadlineOf(ctx), commit.Ways{
		Topics: order, Own: i.store.availableAmong(topicsJobs, order), Peers: len(peers), StoreTime: i.store.meanAnswerTime(),
	})
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	w := &recordWay{inst: i, ctx: work, id: id, record: r, read: read, peers: peers, events: make(chan wayEvent)}
	return w.run(core)
}

func verdict(r commit.Result, last error) error {
	text := "no answer"
	if last != nil {
		text = last.Error()
	}
	switch r {
	case commit.Done:
		return nil
	case commit.Refused:
		return eris.Wrap(ErrRefused, text)
	default:
		return eris.Wrap(ErrUnclear, text)
	}
}

// deadlineOf gives the context's deadline on the boot time clock.
func deadlineOf(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return boottime() + storetime.AppendLeast
	}
	return boottime() + time.Until(d)
}

// appendOnce appends a record of a job and tells the owner.
func (i *Instance) appendOnce(ctx context.Context, t external.Topic, r external.Record) error {
	end, err := i.log.Append(ctx, external.Append{Topic: t, Records: []external.Record{r}})
	if err == nil {
		i.tellAppended(t, end)
	}
	return err
}

func resultOfAppend(err error) commit.Result {
	switch {
	case err == nil:
		return commit.Done
	case errors.Is(err, external.ErrNotExecuted), errors.Is(err, external.ErrInvalidRequest):
		return commit.Refused
	default:
		return commit.Unclear
	}
}

// writeOver asks a peer to append the record.
func (i *Instance) writeOver(ctx context.Context, addr string, t external.Topic, r external.Record) (commit.Result, error) {
	inner, cancel := context.WithTimeout(ctx, i.store.appendTimeout()+peerTime)
	defer cancel()
	rep, err := link.Call[wire.RecordWrite, wire.RecordWriteReply](inner, i.pool, addr, wire.KindRecord, wire.RecordWrite{Topic: string(t), Key: r.Key, Value: r.Value})
	i.noteAnswer(ctx, addr, err)
	switch {
	case errors.Is(err, link.ErrNotExecuted):
		return commit.Refused, err
	case err != nil:
		return commit.Unclear, err
	case rep.Appended:
		return commit.Done, nil
	case rep.Refused:
		return commit.Refused, eris.New("peer " + addr + ": " + rep.Reason)
	default:
		return commit.Unclear, eris.New("peer " + addr + ": " + rep.Reason)
	}
}

// onRecordWrite appends a record for a peer that can't reach the store.
func (i *Instance) onRecordWrite(ctx context.Context, _ link.Peer, q wire.RecordWrite) (wire.RecordWriteReply, error) {
	t := external.Topic(q.Topic)
	if !slices.Contains(topicsJobs, t) {
		return wire.RecordWriteReply{Refused: true, Reason: "no topic of jobs: " + q.Topic}, nil
	}
	record := external.Record{Key: q.Key, Value: q.Value}
	if rec, err := readJobRecord(record); err != nil || rec == (jobRecord{}) {
		evRecordBad.Log(ctx, i.logger, slog.String("topic", q.Topic), slog.String("key", q.Key), slog.String("from", "a peer"), slog.Any("error", err))
		return wire.RecordWriteReply{Refused: true, Reason: "no record of a job: " + q.Key}, nil
	}
	if !i.store.available(t) {
		return wire.RecordWriteReply{Refused: true, Reason: "the store does not answer here either for " + q.Topic}, nil
	}
	err := i.appendOnce(ctx, t, record)
	if err == nil {
		return wire.RecordWriteReply{Appended: true}, nil
	}
	return wire.RecordWriteReply{Refused: resultOfAppend(err) == commit.Refused, Reason: err.Error()}, nil
}
