package instance

import (
	"context"
	"errors"
	"strconv"

	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// progressWriter writes an owner's batches of progress, one at a time. A batch
// goes to the first topic that the store serves; who reads takes the newest of
// a key over all topics.
type progressWriter struct {
	answers func(external.Topic) bool
	ways    []*progressWay
}

// firstSeq is the sequence number of an epoch's first append.
const firstSeq = 1

// progressWay is the way into one topic.
type progressWay struct {
	log      external.Log
	topic    external.Topic
	producer external.Producer
	// open is an append without an answer, of the batch openBatch, which is negative
	// for the drop that goes with a batch. Its sequence number can't be used for
	// anything else: the append may be carried out yet.
	open      []external.Record
	openBatch int64
	// holds are the keys with a record in the topic.
	holds map[string]bool
}

func newProgressWriter(log external.Log, answers func(external.Topic) bool, term int64) *progressWriter {
	p := &progressWriter{answers: answers}
	for _, t := range topicsProgress {
		p.ways = append(p.ways, &progressWay{
			log: log, topic: t, holds: make(map[string]bool),
			producer: external.Producer{Name: producerOwner, Epoch: term},
		})
	}
	return p
}

// fence makes the store refuse progress of every owner before, in all topics.
func (p *progressWriter) fence(ctx context.Context) error {
	var g errgroup.Group
	for _, w := range p.ways {
		g.Go(func() error { return w.fence(ctx) })
	}
	return g.Wait()
}

// write makes a batch durable in one of the topics. Errors: of the last topic
// tried; ErrFenced ends it at once.
func (p *progressWriter) write(ctx context.Context, batch int64, records []external.Record) error {
	var err error
	for _, w := range p.order() {
		err = w.write(ctx, batch, records)
		if err == nil || errors.Is(err, external.ErrFenced) {
			return err
		}
	}
	return err
}

// order gives the ways, those first for which the store answers.
func (p *progressWriter) order() []*progressWay {
	var good, bad []*progressWay
	for _, w := range p.ways {
		if p.answers(w.topic) {
			good = append(good, w)
		} else {
			bad = append(bad, w)
		}
	}
	return append(good, bad...)
}

// drop drops the records of jobs wherever there are any. What can't be dropped
// stays: without a submission it means nothing.
func (p *progressWriter) drop(ctx context.Context, batch int64, ids []job.ID) error {
	var errs []error
	for _, w := range p.ways {
		var records []external.Record
		for _, id := range ids {
			if w.holds[string(id)] {
				records = append(records, external.Record{Key: string(id)})
			}
		}
		if len(records) > 0 {
			errs = append(errs, w.write(ctx, -batch, records)) // not the batch itself
		}
	}
	return errors.Join(errs...)
}

// fence makes the first append of the epoch. It holds a record, as an append
// without any would set the sequence number back if it were carried out once
// more beside those that follow.
func (w *progressWay) fence(ctx context.Context) error {
	w.producer.Seq = firstSeq
	value := strconv.FormatInt(w.producer.Epoch, 10)
	return w.append(ctx, []external.Record{{Key: keyFence, Value: []byte(value)}})
}

// write makes one batch durable in the topic.
func (w *progressWay) write(ctx context.Context, batch int64, records []external.Record) error {
	if w.open != nil {
		if err := w.append(ctx, w.open); err != nil {
			return err
		}
		w.open = nil
		if w.openBatch == batch {
			return nil
		}
	}
	w.producer.Seq++
	err := w.append(ctx, records)
	if errors.Is(err, external.ErrNotExecuted) {
		w.producer.Seq-- // nothing has used it
		return err
	}
	w.hold(records)
	var gap *external.SequenceError
	if errors.Is(err, external.ErrOutcomeUnknown) || errors.As(err, &gap) {
		w.open, w.openBatch = records, batch
	}
	return err
}

func (w *progressWay) hold(records []external.Record) {
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(w.holds, r.Key)
			continue
		}
		w.holds[r.Key] = true
	}
}

func (w *progressWay) append(ctx context.Context, records []external.Record) error {
	producer := w.producer
	_, err := w.log.Append(ctx, external.Append{Topic: w.topic, Records: records, Producer: &producer})
	var gap *external.SequenceError
	if !errors.As(err, &gap) {
		return err
	}
	if gap.Expected == w.producer.Seq+1 {
		return nil // this very append has been carried out before
	}
	w.producer.Seq = gap.Expected
	return err
}
