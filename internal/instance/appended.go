package instance

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// deliveryTimeout is how long the owner's waiting read may take to deliver a confirmed
// record before it is aborted and replaced by one that does not wait. The store delivers
// within milliseconds, but sometimes only at the end of the read's wait.
const deliveryTimeout = 200 * time.Millisecond

// notifyAppended tells the owner how far a topic of jobs reaches. A lost notification
// only costs time: the record is in the store.
func (i *Instance) notifyAppended(t external.Topic, end int64) {
	if o := i.owner.Load(); o != nil {
		o.ensureRead(t, end)
		return
	}
	i.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		q := wire.Appended{Topic: string(t), End: end}
		if _, err := askOwner[wire.Appended, wire.Ack](ctx, i, wire.KindAppended, q); err != nil {
			evOwnerNotNotified.Log(ctx, i.logger, slog.String("topic", q.Topic), slog.Int64("end", end), slog.Any("error", err))
		}
	})
}

func (i *Instance) onAppended(_ context.Context, _ link.Peer, q wire.Appended) (wire.Ack, error) {
	if o := i.owner.Load(); o != nil {
		o.ensureRead(external.Topic(q.Topic), q.End)
	}
	return wire.Ack{}, nil
}

// ensureRead aborts the waiting read of a topic of jobs if it has not been read up to end
// in time.
func (o *owner) ensureRead(t external.Topic, end int64) {
	n := slices.Index(topicsJobs, t)
	if n < 0 || o.hasRead(n, end) {
		return
	}
	o.inst.spawn(func(context.Context) {
		sleep(o.ctx, deliveryTimeout)
		if o.ctx.Err() != nil || o.hasRead(n, end) {
			return
		}
		mReadsAborted.Inc()
		evReadAborted.Log(o.ctx, o.inst.logger, slog.String("topic", string(t)), slog.Int64("end", end))
		o.inst.storeMonitor.abortWaitingReads(t)
	})
}

// hasRead reports whether topicsJobs[n] has been read up to end.
func (o *owner) hasRead(n int, end int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.jobsReadTo[n] >= end
}
