package store

import (
	"slices"
	"time"

	"coltsfootmux/internal/external"
)

// maxKeptResults is how many of a producer's latest appends get the same result
// when they are sent again.
const maxKeptResults = 5

// topic is a sequence of keyed records.
type topic struct {
	// busyUntil is when the appends accepted so far will have been carried out.
	busyUntil time.Time
	records   []external.Record // from first on, without a gap
	first     int64
	newest    map[string]external.Record
	// producers holds the idempotent producers by name.
	producers map[string]*producer
}

// producer is the state of one idempotent producer.
type producer struct {
	epoch int64
	seq   int64
	// results holds the end of the topic after recent appends, by sequence number.
	results map[int64]int64
}

func newTopic() *topic {
	return &topic{newest: make(map[string]external.Record), producers: make(map[string]*producer)}
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

func (t *topic) append(a external.Append) (int64, error) {
	if a.ExpectedEnd != nil && *a.ExpectedEnd != t.end() {
		return 0, &external.ConflictError{End: t.end()}
	}
	if a.Producer != nil {
		if end, done, err := t.checkProducer(a); done || err != nil {
			return end, err
		}
	}
	for _, r := range a.Records {
		r.Offset = t.end()
		r.Value = slices.Clone(r.Value)
		t.records = append(t.records, r)
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
			continue
		}
		t.newest[r.Key] = r
	}
	if a.Producer != nil && len(a.Records) > 0 {
		t.producers[a.Producer.Name].results[a.Producer.Seq] = t.end()
	}
	return t.end(), nil
}

// checkProducer checks an idempotent append. It reports done if the append was
// carried out before or only registers the producer's epoch.
func (t *topic) checkProducer(a external.Append) (end int64, done bool, err error) {
	p := t.producers[a.Producer.Name]
	switch {
	case p == nil || a.Producer.Epoch > p.epoch:
		p = &producer{epoch: a.Producer.Epoch, seq: a.Producer.Seq - 1, results: make(map[int64]int64)}
		t.producers[a.Producer.Name] = p
	case a.Producer.Epoch < p.epoch:
		return 0, false, external.ErrFenced
	}
	if len(a.Records) == 0 {
		p.seq = a.Producer.Seq
		return t.end(), true, nil
	}
	if end, ok := p.results[a.Producer.Seq]; ok {
		return end, true, nil
	}
	if a.Producer.Seq != p.seq+1 {
		return 0, false, &external.SequenceError{Expected: p.seq + 1}
	}
	p.seq = a.Producer.Seq
	delete(p.results, p.seq-maxKeptResults)
	return 0, false, nil
}

func (t *topic) read(from int64) (external.Page, error) {
	if from < t.first {
		return external.Page{}, &external.ExpiredError{First: t.first}
	}
	p := external.Page{End: t.end(), Next: max(from, t.end())}
	if from < t.end() {
		p.Records = slices.Clone(t.records[from-t.first:])
	}
	return p, nil
}

func (t *topic) newestPage() external.Page {
	p := external.Page{End: t.end(), Next: t.end()}
	keys := make([]string, 0, len(t.newest))
	for k := range t.newest {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		p.Records = append(p.Records, t.newest[k])
	}
	return p
}

// expire deletes the records before an offset; the newest record of each key
// stays available to newestPage.
func (t *topic) expire(before int64) {
	n := min(max(before-t.first, 0), int64(len(t.records)))
	t.records = t.records[n:]
	t.first += n
}
