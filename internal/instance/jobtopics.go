package instance

import (
	"context"
	"log/slog"
	"math/bits"
	"slices"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/external"
)

const (
	// unread is the offset of a topic that has not been read.
	unread = -1
	// lateTopicWait is how much longer than all others a topic of jobs may take to be read
	// before the owner begins without it.
	lateTopicWait = 500 * time.Millisecond
)

// topicPage is the result of reading topicsJobs[n].
type topicPage struct {
	n    int
	page external.Page
	err  error
}

// jobTopicReads are reads of all of topicsJobs in progress.
type jobTopicReads struct {
	pages chan topicPage
}

// readJobTopics begins to read the newest records of all of topicsJobs.
func (o *owner) readJobTopics(ctx context.Context) *jobTopicReads {
	r := &jobTopicReads{pages: make(chan topicPage, len(topicsJobs))}
	for n, t := range topicsJobs {
		o.inst.spawn(func(context.Context) {
			p, err := o.inst.store.Newest(ctx, t)
			r.pages <- topicPage{n: n, page: p, err: err}
		})
	}
	return r
}

// wait returns a page for each of topicsJobs, nil for those that can't be read within
// lateTopicWait. It fails if none can be read.
func (r *jobTopicReads) wait() ([]*external.Page, error) {
	out := make([]*external.Page, len(topicsJobs))
	timeout := time.NewTimer(lateTopicWait)
	defer timeout.Stop()
	var lastErr error
	for range topicsJobs {
		select {
		case p := <-r.pages:
			if p.err != nil {
				lastErr = p.err
				continue
			}
			out[p.n] = &p.page
		case <-timeout.C:
			return out, noneRead(out, external.ErrOutcomeUnknown)
		}
	}
	return out, noneRead(out, lastErr)
}

// noneRead returns err if there are no pages, otherwise nil.
func noneRead(pages []*external.Page, err error) error {
	if slices.ContainsFunc(pages, func(p *external.Page) bool { return p != nil }) {
		return nil
	}
	return err
}

// readLate reports whether topicsJobs[n] has not been read in this term.
func (o *owner) readLate(n int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unreadTopics.has(n)
}

// loadLate passes the records of topicsJobs[n] to the core, which began without them.
func (o *owner) loadLate(n int, p external.Page) {
	ev := cell.JobsLoaded{}
	ev.Jobs, ev.Cancels = o.decodeJobs(n, p)
	sortBySubmission(ev.Jobs)
	o.lateMu.Lock() // the event that completes the topics must be the last one
	defer o.lateMu.Unlock()
	o.mu.Lock()
	o.unreadTopics = o.unreadTopics.without(n)
	ev.Complete = o.unreadTopics == 0
	o.jobsReadAt[n], o.jobsReadTo[n] = boottime(), p.End
	o.mu.Unlock()
	evTopicReadLate.Log(o.ctx, o.inst.logger, slog.String("topic", string(topicsJobs[n])), slog.Int("jobs", len(ev.Jobs)),
		slog.Bool("complete", ev.Complete))
	o.step(ev)
}

// size returns the number of topics in the set.
func (s topicSet) size() int { return bits.OnesCount16(uint16(s)) }
