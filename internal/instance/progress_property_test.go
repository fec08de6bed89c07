package instance

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/store"
)

// progressStep is one event while progress is written.
type progressStep struct {
	kind  string
	fault store.Fault
	// duration is how long a sleep or a fault lasts.
	duration time.Duration
	writes   int
}

func drawProgressSteps(t *rapid.T) []progressStep {
	one := rapid.Custom(func(t *rapid.T) progressStep {
		s := progressStep{kind: rapid.SampledFrom([]string{"take over", "fault", "fault", "sleep", "write", "write", "write", "write"}).Draw(t, "what")}
		s.duration = time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
		s.writes = rapid.IntRange(1, 12).Draw(t, "writes")
		s.fault = rapid.SampledFrom([]store.Fault{
			{}, {}, {Down: true}, {Silent: true}, {LoseAnswers: true}, {AppendDelay: 900 * time.Millisecond}, {AppendDelay: 3 * time.Second},
		}).Draw(t, "fault")
		s.fault.Topics = rapid.SampledFrom([][]external.Topic{nil, topicsProgress[:1], topicsProgress[1:]}).Draw(t, "topics")
		return s
	})
	return rapid.SliceOfN(one, 1, 60).Draw(t, "steps")
}

// Whatever part of the store fails, and whoever owns the cell: the next owner reads the
// progress that was confirmed as durable, or newer progress.
func TestDurableProgressIsReadByTheNextOwner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawProgressSteps(rt)
		var broken error
		synctest.Test(t, func(t *testing.T) {
			h := &progressHistory{t: t, store: store.New()}
			broken = h.play(steps)
		})
		if broken != nil {
			rt.Fatal(broken)
		}
	})
}

// progressHistory is a sequence of owners and what the store confirmed to them.
type progressHistory struct {
	t      *testing.T
	store  *store.Store
	writer *progressWriter
	term   int64
	batch  int64
	// durable is the version of the newest progress that was confirmed to a writer.
	durable recordVersion
}

func (h *progressHistory) play(steps []progressStep) error {
	if err := h.takeOver(); err != nil {
		return err
	}
	for _, s := range steps {
		switch s.kind {
		case "take over":
			if err := h.takeOver(); err != nil {
				return err
			}
		case "fault":
			h.store.SetFault(s.fault)
			time.AfterFunc(s.duration, func() { h.store.SetFault(store.Fault{}) })
		case "sleep":
			time.Sleep(s.duration)
		case "write":
			for range s.writes {
				h.write()
			}
		}
	}
	h.store.SetFault(store.Fault{})
	time.Sleep(5 * time.Second) // until late appends have been carried out
	return h.takeOver()
}

// write writes the next batch once. A batch that fails is not retried, as each later one
// holds the whole of the job's progress.
func (h *progressHistory) write() {
	if h.writer == nil {
		return
	}
	h.batch++
	s := recordVersion{Term: h.term, Batch: h.batch}
	v, err := encodeRecord(progressRecord{Version: s, Progress: job.Progress{EndedMS: h.batch}})
	if err != nil {
		h.t.Fatal(err)
	}
	if h.writer.write(h.t.Context(), appendID{batch: h.batch}, []external.Record{{Key: "j", Value: v}}) == nil {
		h.durable = s
	}
}

// takeOver fences previous owners and compares what is read then with what is durable. If
// the fence fails, the term is left unused.
func (h *progressHistory) takeOver() error {
	h.term++
	h.batch, h.writer = 0, nil
	w := newProgressWriter(newStoreMonitor(h.store, nil), func(external.Topic) bool { return true }, h.term)
	for range 3 {
		if w.fence(h.t.Context()) == nil {
			h.writer = w
			break
		}
	}
	if h.writer == nil {
		return nil
	}
	found := recordVersion{}
	for _, topic := range topicsProgress {
		s, err := h.newestVersion(topic)
		if err != nil {
			h.writer = nil
			return nil
		}
		found = newerVersion(found, s)
	}
	if found.compare(h.durable) < 0 {
		return fmt.Errorf("term %d reads %+v, but %+v was confirmed as durable", h.term, found, h.durable)
	}
	return nil
}

func newerVersion(a, b recordVersion) recordVersion {
	if a.compare(b) < 0 {
		return b
	}
	return a
}

// newestVersion returns the version of the newest progress in a topic.
func (h *progressHistory) newestVersion(topic external.Topic) (recordVersion, error) {
	p, err := h.store.Newest(h.t.Context(), topic)
	if err != nil {
		return recordVersion{}, err
	}
	out := recordVersion{}
	for _, r := range p.Records {
		if r.Key == keyFence {
			continue
		}
		var rec progressRecord
		if err := decodeRecord(r.Value, &rec); err != nil {
			return out, err
		}
		out = newerVersion(out, rec.Version)
	}
	return out, nil
}
