package instance

import (
	"context"
	"errors"
	"strconv"

	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/core/recordset"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// progressWriter writes an owner's batches of progress, one at a time. Each batch goes to
// the first topic that the store serves; readers take the newest record of a key over all
// topics.
type progressWriter struct {
	available func(external.Topic) bool
	writers   []*topicWriter
}

// appendID tells the appends of an owner apart: the batch and a number within it. Deletions that go
// with a batch have numbers of their own.
type appendID struct {
	batch    int64
	number   int
	deletion bool
}

// firstSeq is the sequence number of an epoch's first append.
const firstSeq = 1

// topicWriter writes progress to one topic.
type topicWriter struct {
	store    external.Store
	topic    external.Topic
	producer external.Producer
	// unconfirmed is an append without an answer, the one with unconfirmedID. Its sequence
	// number can't be used for anything else, as the append may still be carried out.
	unconfirmed   []external.Record
	unconfirmedID appendID
	// keys are those with a record in the topic.
	keys map[string]bool
}

func newProgressWriter(store external.Store, available func(external.Topic) bool, term int64) *progressWriter {
	p := &progressWriter{available: available}
	for _, t := range topicsProgress {
		p.writers = append(p.writers, &topicWriter{
			store: store, topic: t, keys: make(map[string]bool),
			producer: external.Producer{Name: producerOwner, Epoch: term},
		})
	}
	return p
}

// fence makes the store refuse the progress of all previous owners, in all topics.
func (p *progressWriter) fence(ctx context.Context) error {
	var g errgroup.Group
	for _, w := range p.writers {
		g.Go(func() error { return w.fence(ctx) })
	}
	return g.Wait()
}

// write makes an append durable in one of the topics. It returns the error of the last topic
// tried, and ErrFenced and ErrInvalidRequest at once.
func (p *progressWriter) write(ctx context.Context, id appendID, records []external.Record) error {
	var err error
	for _, w := range p.byAvailability() {
		err = w.write(ctx, id, records)
		if err == nil || errors.Is(err, external.ErrFenced) || errors.Is(err, external.ErrInvalidRequest) {
			return err
		}
	}
	return err
}

// fenceRecord returns a small record that every owner writes when it begins.
func (p *progressWriter) fenceRecord() external.Record { return p.writers[0].fenceRecord() }

// byAvailability returns the writers, those of available topics first.
func (p *progressWriter) byAvailability() []*topicWriter {
	var available, unavailable []*topicWriter
	for _, w := range p.writers {
		if p.available(w.topic) {
			available = append(available, w)
		} else {
			unavailable = append(unavailable, w)
		}
	}
	return append(available, unavailable...)
}

// deleteJobs deletes the records of jobs from every topic that holds any. A record that
// can't be deleted does no harm: without a submission it has no effect.
func (p *progressWriter) deleteJobs(ctx context.Context, l external.StoreLimits, batch int64, ids []job.ID) error {
	var errs []error
	for _, w := range p.writers {
		for n, records := range recordset.Chunks(l, w.tombstones(ids)) {
			errs = append(errs, w.write(ctx, appendID{batch: batch, number: n, deletion: true}, records))
		}
	}
	return errors.Join(errs...)
}

// tombstones returns the records that delete those of the jobs.
func (w *topicWriter) tombstones(ids []job.ID) []external.Record {
	var out []external.Record
	for _, id := range ids {
		key := string(id)
		if w.keys[key] {
			out = append(out, external.Record{Key: key})
		}
		for n := 1; w.keys[partKey(key, n)]; n++ {
			out = append(out, external.Record{Key: partKey(key, n)})
		}
	}
	return out
}

// fence makes the first append of the epoch. The append holds a record: without one, it
// would set the sequence number back if the store carried it out again after later appends.
func (w *topicWriter) fence(ctx context.Context) error {
	w.producer.Seq = firstSeq
	return w.append(ctx, []external.Record{w.fenceRecord()})
}

func (w *topicWriter) fenceRecord() external.Record {
	return external.Record{Key: keyFence, Value: []byte(strconv.FormatInt(w.producer.Epoch, 10))}
}

// write makes one append durable in the topic.
func (w *topicWriter) write(ctx context.Context, id appendID, records []external.Record) error {
	if w.unconfirmed != nil {
		err := w.append(ctx, w.unconfirmed)
		refused := errors.Is(err, external.ErrInvalidRequest)
		if err != nil && !refused {
			return err
		}
		w.unconfirmed = nil
		if refused {
			w.producer.Seq-- // it was never carried out
		}
		if w.unconfirmedID == id {
			return err
		}
	}
	w.producer.Seq++
	err := w.append(ctx, records)
	if errors.Is(err, external.ErrNotExecuted) || errors.Is(err, external.ErrInvalidRequest) {
		w.producer.Seq-- // still unused
		return err
	}
	w.trackKeys(records)
	var gap *external.SequenceError
	if errors.Is(err, external.ErrOutcomeUnknown) || errors.As(err, &gap) {
		w.unconfirmed, w.unconfirmedID = records, id
	}
	return err
}

func (w *topicWriter) trackKeys(records []external.Record) {
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(w.keys, r.Key)
			continue
		}
		w.keys[r.Key] = true
	}
}

func (w *topicWriter) append(ctx context.Context, records []external.Record) error {
	producer := w.producer
	_, err := w.store.Append(ctx, external.Append{Topic: w.topic, Records: records, Producer: &producer})
	var gap *external.SequenceError
	if !errors.As(err, &gap) {
		return err
	}
	if gap.Expected == w.producer.Seq+1 {
		return nil // this append has been carried out already
	}
	w.producer.Seq = gap.Expected
	return err
}
