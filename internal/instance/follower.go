package instance

import (
	"context"
	"errors"
	"time"

	"coltsfootmux/internal/external"
)

// Waits of followers.
const (
	// readWait is how long a read waits for a record. It is short enough that a
	// connection gone silent is noticed soon.
	readWait = 2 * time.Second
	// readRetry lies between two reads after one that failed.
	readRetry = 200 * time.Millisecond
	// awayRetry is the same while the store answers for no topic. Its return is seen
	// by the probes.
	awayRetry = time.Second
	// readTime bounds a read beyond its wait.
	readTime = 1200 * time.Millisecond
)

// follower reads a topic to its end and goes on reading. Handlers run in the
// follower's goroutine, one at a time.
type follower struct {
	log   *storeWatch
	topic external.Topic
	// pace is the least time between two reads; busy topics are read in batches.
	pace time.Duration
	// reset is handed the newest record of each key, at the start and after
	// records expired unread.
	reset func(external.Page)
	// page is handed what a read gave, also when that is nothing.
	page func(external.Page)
	// failed is told of reads that failed.
	failed func(error)

	next int64
	// hurried reads don't wait, as the one before was given up.
	hurried bool
}

// run follows until ctx ends. It begins with the newest records unless from is
// an offset of 0 or more.
func (f *follower) run(ctx context.Context, from int64) {
	f.next = from
	for ctx.Err() == nil {
		began := time.Now()
		err := f.once(ctx)
		if f.hurried = errors.Is(err, errGivenUp); f.hurried {
			continue
		}
		if err != nil && ctx.Err() == nil {
			f.onError(err)
			f.log.pause(ctx)
			continue
		}
		sleep(ctx, f.pace-time.Since(began))
	}
}

func (f *follower) once(ctx context.Context) error {
	if f.next < 0 {
		return f.readNewest(ctx)
	}
	wait := readWait
	if f.hurried {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTime)
	defer cancel()
	p, err := f.log.Read(ctx, f.topic, f.next, wait)
	if err != nil {
		return err
	}
	f.next = p.Next
	f.page(p)
	return nil
}

func (f *follower) readNewest(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readWait+readTime)
	defer cancel()
	p, err := f.log.Newest(ctx, f.topic)
	if err != nil {
		return err
	}
	f.next = p.End
	f.reset(p)
	return nil
}

// onError starts over from the newest records when the next ones have expired.
func (f *follower) onError(err error) {
	var expired *external.ExpiredError
	if errors.As(err, &expired) {
		f.next = -1
	}
	f.failed(err)
}

// ignore is for followers whose topic has no say in what is believed of the
// store; the store's watch logs its loss.
func ignore(error) {}

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
