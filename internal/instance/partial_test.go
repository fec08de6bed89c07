package instance

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/store"
)

// The store may lose some of its partitions and serve the others.

// TestOwnerKeepsItsTermWhileOnlyTheTermsTopicIsDown: the others reported that the
// store answers them, for its other topics, and the cell was left without an owner.
func TestOwnerKeepsItsTermWhileOnlyTheTermsTopicIsDown(t *testing.T) {
	r := newRig(t, 3)
	r.wait("an owner", func() bool { return r.owner() != nil })
	first := r.owner()
	r.wait("peers known", func() bool { return len(first.inst.peers()) > 1 })
	r.store.SetFault(store.Fault{Down: true, Topics: []external.Topic{topicTerm}})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.owner() != first {
			t.Fatal("the owner lost its term")
		}
	}
	r.wait("accepted", func() bool { return r.submit(r.other(), "j", 2) == nil })
	r.wait("complete", r.complete(first, "j"))
	r.checkFleet()
}

// TestJobsAreAcceptedWhileTheirTopicIsDown: all submissions were refused or ended
// in doubt while the one topic of submissions was down.
func TestJobsAreAcceptedWhileTheirTopicIsDown(t *testing.T) {
	for name, fault := range map[string]store.Fault{"refuses": {Down: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2)
			r.wait("an owner", func() bool { return r.owner() != nil })
			fault.Topics = topicsJobs[:1]
			r.store.SetFault(fault)
			for n := range 9 {
				began := time.Now()
				if err := r.submit(r.other(), fmt.Sprintf("j%d", n), 1); err != nil {
					t.Fatalf("job %d after %v: %v", n, time.Since(began), err)
				}
			}
			for n := range 9 {
				r.wait("complete", r.complete(r.other(), fmt.Sprintf("j%d", n)))
			}
			r.checkFleet()
		})
	}
}

func TestProgressGoesToAnotherTopicAndTheNextOwnerFindsIt(t *testing.T) {
	r := newRig(t, 2)
	r.wait("an owner", func() bool { return r.owner() != nil })
	taker := r.other()
	r.wait("accepted", func() bool { return r.submit(taker, "before", 2) == nil })
	r.wait("complete", r.complete(taker, "before"))
	r.store.SetFault(store.Fault{Down: true, Topics: topicsProgress[:1]})
	if err := r.submit(taker, "during", 2); err != nil {
		t.Fatal(err)
	}
	r.wait("complete while the first topic is down", r.complete(taker, "during"))
	r.store.SetFault(store.Fault{})
	r.owner().kill()
	for _, id := range []string{"before", "during"} {
		r.wait("complete under the next owner", r.complete(taker, id))
	}
	r.checkFleet()
}

func TestJobSubmittedToTwoTopicsIsOne(t *testing.T) {
	r := newRig(t, 2)
	r.wait("an owner", func() bool { return r.owner() != nil })
	taker := r.other()
	r.wait("accepted", func() bool { return r.submit(taker, "j", 2) == nil })
	order := topicOrder("j")
	p, err := r.store.Newest(t.Context(), topicsJobs[order[0]])
	if err != nil || len(p.Records) != 1 {
		t.Fatalf("%d records, %v", len(p.Records), err)
	}
	r.store.Put(topicsJobs[order[1]], p.Records[0].Key, p.Records[0].Value)
	r.wait("complete", r.complete(taker, "j"))
	r.owner().kill()
	r.wait("complete under the next owner", r.complete(taker, "j"))
	r.checkFleet()
}

// writerRig is a progress writer over a stand-in store.
func writerRig(t *testing.T) (*store.Store, *progressWriter) {
	s := store.New()
	w := newProgressWriter(newStoreMonitor(s, nil), func(external.Topic) bool { return true }, 3)
	if err := w.fence(t.Context()); err != nil {
		t.Fatal(err)
	}
	return s, w
}

func value(t *testing.T, s *store.Store, topic external.Topic, key string) string {
	p, err := s.Newest(t.Context(), topic)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range p.Records {
		if r.Key == key {
			return string(r.Value)
		}
	}
	return ""
}

// TestNumberOfAnOpenAppendIsNotUsedAgain: the store would take the next batch
// for a repeat of the open one, and say that it is durable.
func TestNumberOfAnOpenAppendIsNotUsedAgain(t *testing.T) {
	s, w := writerRig(t)
	first := topicsProgress[:1]
	put := func(batch int64, v string) error {
		return w.write(t.Context(), batch, []external.Record{{Key: "j", Value: []byte(v)}})
	}
	s.SetFault(store.Fault{LoseAnswers: true, Topics: first})
	if err := put(1, "one"); err != nil {
		t.Fatalf("not written to the second topic: %v", err)
	}
	s.SetFault(store.Fault{})
	if err := put(2, "two"); err != nil {
		t.Fatal(err)
	}
	if v := value(t, s, topicsProgress[0], "j"); v != "two" {
		t.Errorf("the first topic holds %q", v)
	}
	if v := value(t, s, topicsProgress[1], "j"); v != "one" {
		t.Errorf("the second topic holds %q", v)
	}
}

func TestDroppedProgressLeavesEveryTopic(t *testing.T) {
	s, w := writerRig(t)
	put := func(batch int64) error {
		return w.write(t.Context(), batch, []external.Record{{Key: "j", Value: []byte("x")}})
	}
	if err := put(1); err != nil {
		t.Fatal(err)
	}
	s.SetFault(store.Fault{Down: true, Topics: topicsProgress[:1]})
	if err := put(2); err != nil {
		t.Fatal(err)
	}
	s.SetFault(store.Fault{})
	if err := w.drop(t.Context(), 3, []job.ID{"j"}); err != nil {
		t.Fatal(err)
	}
	for _, topic := range topicsProgress {
		if v := value(t, s, topic, "j"); v != "" {
			t.Errorf("%s holds %q", topic, v)
		}
	}
}

// TestDropIsNotTakenForAnOpenBatch: a batch without an answer was written to
// another topic; dropping jobs with it found the open batch done and dropped nothing.
func TestDropIsNotTakenForAnOpenBatch(t *testing.T) {
	s, w := writerRig(t)
	first := topicsProgress[:1]
	if err := w.write(t.Context(), 1, []external.Record{{Key: "j", Value: []byte("x")}}); err != nil {
		t.Fatal(err)
	}
	s.SetFault(store.Fault{LoseAnswers: true, Topics: first})
	if err := w.write(t.Context(), 2, []external.Record{{Key: "other", Value: []byte("y")}}); err != nil {
		t.Fatal(err)
	}
	s.SetFault(store.Fault{})
	if err := w.drop(t.Context(), 2, []job.ID{"j"}); err != nil {
		t.Fatal(err)
	}
	if v := value(t, s, topicsProgress[0], "j"); v != "" {
		t.Errorf("the first topic still holds %q", v)
	}
}

func TestNewestProgressOfAllTopicsCounts(t *testing.T) {
	record := func(term, batch int64, ended int64) external.Record {
		v, err := encode(progressRecord{Stamp: stamp{Term: term, Batch: batch}, Progress: job.Progress{EndedMS: ended}})
		if err != nil {
			t.Fatal(err)
		}
		return external.Record{Key: "j", Value: v}
	}
	r := newRig(t, 1)
	o := newOwner(r.nodes[0].inst, 9)
	ev := cell.Loaded{Progress: make(map[job.ID]job.Progress)}
	o.decodeProgress([]external.Page{
		{Records: []external.Record{record(2, 7, 27)}},
		{Records: []external.Record{record(3, 1, 31)}},
	}, &ev)
	if got := ev.Progress["j"].EndedMS; got != 31 {
		t.Errorf("progress of %d, want that of the later term", got)
	}
}

func TestFencedWriterTriesNoOtherTopic(t *testing.T) {
	s, w := writerRig(t)
	next := newProgressWriter(newStoreMonitor(s, nil), func(external.Topic) bool { return true }, 4)
	if err := next.fence(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := w.write(t.Context(), 1, []external.Record{{Key: "j", Value: []byte("late")}}); !errors.Is(err, external.ErrFenced) {
		t.Errorf("error %v, want fenced", err)
	}
}

// TestLateFenceDoesNotTouchWhatFollows: a fence without an answer was repeated,
// and carried out once more beside the batches that followed. It set their
// sequence number back, so that the store took later ones for repeats.
func TestLateFenceDoesNotTouchWhatFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		w := newProgressWriter(newStoreMonitor(s, nil), func(external.Topic) bool { return true }, 3)
		s.SetFault(store.Fault{AppendDelay: 2 * time.Second})
		for range 2 {
			if err := w.fence(t.Context()); !errors.Is(err, external.ErrOutcomeUnknown) {
				t.Fatalf("error %v, want unclear", err)
			}
		}
		s.SetFault(store.Fault{})
		if err := w.fence(t.Context()); err != nil {
			t.Fatal(err)
		}
		for batch := range int64(60) {
			time.Sleep(50 * time.Millisecond)
			v := fmt.Sprint(batch)
			if err := w.write(t.Context(), batch, []external.Record{{Key: "j", Value: []byte(v)}}); err != nil {
				continue // told, and written again by the owner
			}
			if got := value(t, s, topicsProgress[0], "j"); got != v {
				t.Fatalf("batch %s is said to be durable, the store holds %s", v, got)
			}
		}
	})
}
