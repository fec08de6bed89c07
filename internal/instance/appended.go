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

// deliverWithin is how long a confirmed record may take to the owner's waiting
// read before the read is given up for one that does not wait. The store delivers
// within some milliseconds, but now and then only at the end of the read's wait.
const deliverWithin = 200 * time.Millisecond

// tellAppended tells the owner how far a topic of jobs has come. A word that gets
// lost costs time only: the record is in the store.
func (i *Instance) tellAppended(t external.Topic, end int64) {
	if o := i.owner.Load(); o != nil {
		o.expect(t, end)
		return
	}
	i.goRun(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, askTime)
		defer cancel()
		q := wire.Appended{Topic: string(t), End: end}
		if _, err := askOwner[wire.Appended, wire.Ack](ctx, i, wire.KindAppended, q); err != nil {
			evUntold.Log(ctx, i.logger, slog.String("topic", q.Topic), slog.Int64("end", end), slog.Any("error", err))
		}
	})
}

func (i *Instance) onAppended(_ context.Context, _ link.Peer, q wire.Appended) (wire.Ack, error) {
	if o := i.owner.Load(); o != nil {
		o.expect(external.Topic(q.Topic), q.End)
	}
	return wire.Ack{}, nil
}

// expect hurries the read of a topic of jobs if it has not come to end in time.
func (o *owner) expect(t external.Topic, end int64) {
	n := slices.Index(topicsJobs, t)
	if n < 0 || o.hasRead(n, end) {
		return
	}
	o.inst.goRun(func(context.Context) {
		sleep(o.ctx, deliverWithin)
		if o.ctx.Err() != nil || o.hasRead(n, end) {
			return
		}
		mHurried.Inc()
		evHurried.Log(o.ctx, o.inst.logger, slog.String("topic", string(t)), slog.Int64("end", end))
		o.inst.store.abortWaitingReads(t)
	})
}

// hasRead says whether topic number n of jobs has been read up to end.
func (o *owner) hasRead(n int, end int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.readTo[n] >= end
}
