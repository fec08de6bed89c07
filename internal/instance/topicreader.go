package instance

import (
	"cmp"
	"context"
	"errors"
	"time"

	"coltsfootmux/internal/external"
)

// Timing of reads.
const (
	// readWait is how long a read waits for a record. It is short enough for a silent
	// connection to be noticed soon.
	readWait = 2 * time.Second
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 200 * time.Millisecond
	// maxRetryDelay is the longest such delay while the store refuses reads for its rate
	// limit; it doubles from readRetryDelay.
	maxRetryDelay = time.Second
	// outageRetryDelay is the same while the store answers for no topic. Probes notice
	// its return.
	outageRetryDelay = time.Second
	// readTimeout is how long a read may go without any part of its answer, in addition to
	// its wait.
	readTimeout = 1200 * time.Millisecond
)

// topicReader reads a topic to its end and goes on reading. Its callbacks run in the
// reader's goroutine, one at a time.
type topicReader struct {
	store *storeMonitor
	topic external.Topic
	// minInterval is the least time between the starts of two reads, so that busy topics
	// are read in batches.
	minInterval time.Duration
	// onSnapshot is called with the newest record of each key, at the start and after
	// records expired unread.
	onSnapshot func(external.Page)
	// onPage is called with the result of each read, even if it holds no records.
	onPage func(external.Page)
	// onError is called when a read fails.
	onError func(error)
	// onProgress, if set, is called when a part of an answer arrives.
	onProgress func()

	// nextOffset is the offset to read next; negative before a snapshot has been read.
	nextOffset int64
	// skipWait makes reads return at once, because the one before was aborted.
	skipWait bool
	// maxWait replaces readWait if it is set.
	maxWait time.Duration
	// retry gives the delays after failed reads.
	retry backoff
	// took is how long the last read took, with its wait for a record.
	took time.Duration
}

// run reads until ctx ends. It starts with a snapshot unless from is an offset of 0
// or more.
func (r *topicReader) run(ctx context.Context, from int64) {
	r.nextOffset = from
	for ctx.Err() == nil {
		r.step(ctx)
	}
}

// step makes one read, and waits before the next.
func (r *topicReader) step(ctx context.Context) {
	r.retry.min, r.retry.max = readRetryDelay, maxRetryDelay
	began := time.Now()
	err := r.readOnce(ctx)
	if r.skipWait = errors.Is(err, errReadAborted); r.skipWait {
		return
	}
	if err != nil && ctx.Err() == nil {
		r.handleError(err)
		r.store.waitToRetry(ctx, r.retry.delayAfter(err))
		return
	}
	r.retry.reset()
	sleep(ctx, r.minInterval-time.Since(began))
}

func (r *topicReader) readOnce(ctx context.Context) error {
	if r.nextOffset < 0 {
		return r.readSnapshot(ctx)
	}
	wait := cmp.Or(r.maxWait, readWait)
	if r.skipWait {
		wait = 0
	}
	ctx, cancel := r.limit(ctx, wait)
	defer cancel()
	began := boottime()
	p, err := r.store.Read(ctx, r.topic, r.nextOffset, wait)
	r.took = boottime() - began
	if err != nil {
		return err
	}
	r.nextOffset = p.Next
	r.onPage(p)
	return nil
}

// skipSuperseded continues with a snapshot if a page was not the last: the records that
// follow supersede each other.
func (r *topicReader) skipSuperseded(p external.Page) {
	if p.End-p.Next > 1 {
		r.nextOffset = unread
	}
}

func (r *topicReader) readSnapshot(ctx context.Context) error {
	ctx, cancel := r.limit(ctx, readWait)
	defer cancel()
	began := boottime()
	p, err := r.store.Newest(ctx, r.topic)
	r.took = boottime() - began
	if err != nil {
		return err
	}
	r.nextOffset = p.End
	r.onSnapshot(p)
	return nil
}

// limit returns a context for a read that may wait for a record.
func (r *topicReader) limit(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return withStallLimit(ctx, wait+readTimeout, readTimeout, r.onProgress)
}

// handleError starts over with a snapshot if the next records have expired.
func (r *topicReader) handleError(err error) {
	var expired *external.ExpiredError
	if errors.As(err, &expired) {
		r.nextOffset = -1
	}
	r.onError(err)
}

// ignoreError is for readers that need not act on a failed read; storeMonitor reports
// topics that become unavailable.
func ignoreError(error) {}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
