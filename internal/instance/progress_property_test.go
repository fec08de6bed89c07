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

// progressStep is one thing that happens while progress is written.
type progressStep struct {
	what  string
	fault store.Fault
	// sleeps is also how long the fault lasts.
	sleeps time.Duration
	writes int
}

func progressSteps(t *rapid.T) []progressStep {
	one := rapid.Custom(func(t *rapid.T) progressStep {
		s := progressStep{what: rapid.SampledFrom([]string{"take over", "fault", "fault", "sleep", "write", "write", "write", "write"}).Draw(t, "what")}
		s.sleeps = time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
		s.writes = rapid.IntRange(1, 12).Draw(t, "writes")
		s.fault = rapid.SampledFrom([]store.Fault{
			{}, {}, {Down: true}, {Silent: true}, {LoseAnswers: true}, {AppendDelay: 900 * time.Millisecond}, {AppendDelay: 3 * time.Second},
		}).Draw(t, "fault")
		s.fault.Topics = rapid.SampledFrom([][]external.Topic{nil, topicsProgress[:1], topicsProgress[1:]}).Draw(t, "topics")
		return s
	})
	return rapid.SliceOfN(one, 1, 60).Draw(t, "steps")
}

// TestDurableProgressIsFound: whatever part of the store fails, and whoever owns
// the cell, progress that was said to be durable is what the next owner reads, or
// something newer.
func TestDurableProgressIsFound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := progressSteps(rt)
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

// progressHistory is some owners one after the other, and what they were told.
type progressHistory struct {
	t      *testing.T
	store  *store.Store
	writer *progressWriter
	term   int64
	batch  int64
	// durable is the newest stamp that a writer was told is durable.
	durable stamp
}

func (h *progressHistory) play(steps []progressStep) error {
	if err := h.takeOver(); err != nil {
		return err
	}
	for _, s := range steps {
		switch s.what {
		case "take over":
			if err := h.takeOver(); err != nil {
				return err
			}
		case "fault":
			h.store.SetFault(s.fault)
			time.AfterFunc(s.sleeps, func() { h.store.SetFault(store.Fault{}) })
		case "sleep":
			time.Sleep(s.sleeps)
		case "write":
			for range s.writes {
				h.write()
			}
		}
	}
	h.store.SetFault(store.Fault{})
	time.Sleep(5 * time.Second) // late appends are carried out
	return h.takeOver()
}

// write writes the next batch once; one that fails is left to later ones, each
// of which holds the whole of the job's progress.
func (h *progressHistory) write() {
	if h.writer == nil {
		return
	}
	h.batch++
	s := stamp{Term: h.term, Batch: h.batch}
	v, err := encode(progressRecord{Stamp: s, Progress: job.Progress{EndedMS: h.batch}})
	if err != nil {
		h.t.Fatal(err)
	}
	if h.writer.write(h.t.Context(), h.batch, []external.Record{{Key: "j", Value: v}}) == nil {
		h.durable = s
	}
}

// takeOver fences and compares what is read then with what is durable. The term
// is left unused when the fence fails.
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
	found := stamp{}
	for _, topic := range topicsProgress {
		s, err := h.read(topic)
		if err != nil {
			h.writer = nil
			return nil
		}
		found = newest(found, s)
	}
	if found.compare(h.durable) < 0 {
		return fmt.Errorf("term %d reads %+v, but %+v was said to be durable", h.term, found, h.durable)
	}
	return nil
}

func newest(a, b stamp) stamp {
	if a.compare(b) < 0 {
		return b
	}
	return a
}

// read gives the newest stamp in a topic.
func (h *progressHistory) read(topic external.Topic) (stamp, error) {
	p, err := h.store.Newest(h.t.Context(), topic)
	if err != nil {
		return stamp{}, err
	}
	out := stamp{}
	for _, r := range p.Records {
		if r.Key == keyFence {
			continue
		}
		var rec progressRecord
		if err := decodeRecord(r.Value, &rec); err != nil {
			return out, err
		}
		out = newest(out, rec.Stamp)
	}
	return out, nil
}
