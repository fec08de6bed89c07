package instance

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/store"
)

// The store may lose some of its partitions and serve the others.

// The other instances reported that the store answered them, for its other topics, and the
// cell was left without an owner.
func TestOwnerKeepsItsTermWhileOnlyTheTermTopicIsDown(t *testing.T) {
	r := newRig(t, 3)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	first := r.owner()
	r.waitFor("witnesses named", func() bool { return len(first.inst.latestTermRecord().Witnesses) > 1 })
	r.store.SetFault(store.Fault{Down: true, Topics: []external.Topic{topicTerm}})
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.owner() != first {
			t.Fatal("the owner lost its term")
		}
	}
	r.waitFor("accepted", func() bool { return r.submit(r.nonOwner(), "j", 2) == nil })
	r.waitFor("complete", r.isComplete(first, "j"))
	r.checkFleet()
}

// With a single topic of submissions, all jobs were refused or left with an unknown outcome
// while it was down.
func TestJobsAreAcceptedWhileOneJobTopicIsDown(t *testing.T) {
	for name, fault := range map[string]store.Fault{"refuses": {Down: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2)
			r.waitFor("an owner", func() bool { return r.owner() != nil })
			fault.Topics = topicsJobs[:1]
			r.store.SetFault(fault)
			for n := range 9 {
				began := time.Now()
				if err := r.submit(r.nonOwner(), fmt.Sprintf("j%d", n), 1); err != nil {
					t.Fatalf("job %d after %v: %v", n, time.Since(began), err)
				}
			}
			for n := range 9 {
				r.waitFor("complete", r.isComplete(r.nonOwner(), fmt.Sprintf("j%d", n)))
			}
			r.checkFleet()
		})
	}
}

// An owner that took over while one topic of jobs was down waited for it. The jobs in all
// other topics stood still, and none was started.
func TestTakeoverWhileOneJobTopicIsDown(t *testing.T) {
	for name, fault := range map[string]store.Fault{"refuses": {Down: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2)
			r.waitFor("an owner", func() bool { return r.owner() != nil })
			acceptor := r.nonOwner()
			const jobs = 24
			for n := range jobs {
				r.waitFor("accepted", func() bool { return r.submit(acceptor, fmt.Sprintf("before-%d", n), 1) == nil })
			}
			fault.Topics = topicsJobs[:1]
			r.store.SetFault(fault)
			r.owner().kill()
			r.waitFor("accepted", func() bool { return r.submit(acceptor, "during", 1) == nil })
			r.waitFor("complete during the outage", r.isComplete(acceptor, "during"))
			r.store.SetFault(store.Fault{})
			for n := range jobs {
				r.waitFor("complete after the outage", r.isComplete(acceptor, fmt.Sprintf("before-%d", n)))
			}
			r.checkFleet()
		})
	}
}

func TestProgressFallsBackToAnotherTopic(t *testing.T) {
	r := newRig(t, 2)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	acceptor := r.nonOwner()
	r.waitFor("accepted", func() bool { return r.submit(acceptor, "before", 2) == nil })
	r.waitFor("complete", r.isComplete(acceptor, "before"))
	r.store.SetFault(store.Fault{Down: true, Topics: topicsProgress[:1]})
	if err := r.submit(acceptor, "during", 2); err != nil {
		t.Fatal(err)
	}
	r.waitFor("complete while the first topic is down", r.isComplete(acceptor, "during"))
	r.store.SetFault(store.Fault{})
	r.owner().kill()
	for _, id := range []string{"before", "during"} {
		r.waitFor("complete under the next owner", r.isComplete(acceptor, id))
	}
	r.checkFleet()
}

func TestJobSubmittedToTwoTopicsRunsOnce(t *testing.T) {
	r := newRig(t, 2)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	acceptor := r.nonOwner()
	r.waitFor("accepted", func() bool { return r.submit(acceptor, "j", 2) == nil })
	order := topicOrder("j")
	p, err := r.store.Newest(t.Context(), topicsJobs[order[0]])
	if err != nil || len(p.Records) != 1 {
		t.Fatalf("%d records, %v", len(p.Records), err)
	}
	r.store.Put(topicsJobs[order[1]], p.Records[0].Key, p.Records[0].Value)
	r.waitFor("complete", r.isComplete(acceptor, "j"))
	r.owner().kill()
	r.waitFor("complete under the next owner", r.isComplete(acceptor, "j"))
	r.checkFleet()
}

// newTestWriter returns a progress writer over a stand-in store.
func newTestWriter(t *testing.T) (*store.Store, *progressWriter) {
	s := store.New()
	w := newProgressWriter(newStoreMonitor(s, nil), func(external.Topic) bool { return true }, 3)
	if err := w.fence(t.Context()); err != nil {
		t.Fatal(err)
	}
	return s, w
}

func valueOf(t *testing.T, s *store.Store, topic external.Topic, key string) string {
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

// The store would take the next batch for a repeat of the unconfirmed one, and confirm it
// without writing it.
func TestSequenceNumberOfAnUnconfirmedAppendIsNotReused(t *testing.T) {
	s, w := newTestWriter(t)
	first := topicsProgress[:1]
	put := func(batch int64, v string) error {
		return w.write(t.Context(), appendID{batch: batch}, []external.Record{{Key: "j", Value: []byte(v)}})
	}
	s.SetFault(store.Fault{LoseAnswers: true, Topics: first})
	if err := put(1, "one"); err != nil {
		t.Fatalf("not written to the second topic: %v", err)
	}
	s.SetFault(store.Fault{})
	if err := put(2, "two"); err != nil {
		t.Fatal(err)
	}
	if v := valueOf(t, s, topicsProgress[0], "j"); v != "two" {
		t.Errorf("the first topic holds %q", v)
	}
	if v := valueOf(t, s, topicsProgress[1], "j"); v != "one" {
		t.Errorf("the second topic holds %q", v)
	}
}

func TestProgressIsDeletedFromEveryTopic(t *testing.T) {
	s, w := newTestWriter(t)
	put := func(batch int64) error {
		return w.write(t.Context(), appendID{batch: batch}, []external.Record{{Key: "j", Value: []byte("x")}})
	}
	if err := put(1); err != nil {
		t.Fatal(err)
	}
	s.SetFault(store.Fault{Down: true, Topics: topicsProgress[:1]})
	if err := put(2); err != nil {
		t.Fatal(err)
	}
	s.SetFault(store.Fault{})
	if err := w.deleteJobs(t.Context(), store.Limits, 3, []job.ID{"j"}); err != nil {
		t.Fatal(err)
	}
	for _, topic := range topicsProgress {
		if v := valueOf(t, s, topic, "j"); v != "" {
			t.Errorf("%s holds %q", topic, v)
		}
	}
}

// A batch without an answer was written to another topic. The deletion of jobs that went
// with it was mistaken for that batch, and nothing was deleted.
func TestDeletionIsNotMistakenForAnUnconfirmedBatch(t *testing.T) {
	s, w := newTestWriter(t)
	first := topicsProgress[:1]
	if err := w.write(t.Context(), appendID{batch: 1}, []external.Record{{Key: "j", Value: []byte("x")}}); err != nil {
		t.Fatal(err)
	}
	s.SetFault(store.Fault{LoseAnswers: true, Topics: first})
	if err := w.write(t.Context(), appendID{batch: 2}, []external.Record{{Key: "other", Value: []byte("y")}}); err != nil {
		t.Fatal(err)
	}
	s.SetFault(store.Fault{})
	if err := w.deleteJobs(t.Context(), store.Limits, 2, []job.ID{"j"}); err != nil {
		t.Fatal(err)
	}
	if v := valueOf(t, s, topicsProgress[0], "j"); v != "" {
		t.Errorf("the first topic still holds %q", v)
	}
}

func TestNewestProgressOfAllTopicsIsUsed(t *testing.T) {
	record := func(term, batch int64, ended int64) external.Record {
		v, err := encodeRecord(progressRecord{Version: recordVersion{Term: term, Batch: batch}, Progress: job.Progress{EndedMS: ended}})
		if err != nil {
			t.Fatal(err)
		}
		return external.Record{Key: "j", Value: v}
	}
	r := newRig(t, 1)
	o := newOwner(r.nodes[0].inst, term.Gained{Term: 9})
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
	s, w := newTestWriter(t)
	next := newProgressWriter(newStoreMonitor(s, nil), func(external.Topic) bool { return true }, 4)
	if err := next.fence(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := w.write(t.Context(), appendID{batch: 1}, []external.Record{{Key: "j", Value: []byte("late")}}); !errors.Is(err, external.ErrFenced) {
		t.Errorf("error %v, want fenced", err)
	}
}

// A fence without an answer was repeated, and carried out again among the batches that
// followed. It set their sequence number back, so that the store took later batches for
// repeats.
func TestLateFenceDoesNotResetTheSequenceNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		w := newProgressWriter(newStoreMonitor(s, nil), func(external.Topic) bool { return true }, 3)
		s.SetFault(store.Fault{AppendDelay: 2 * time.Second})
		for range 2 {
			if err := w.fence(t.Context()); !errors.Is(err, external.ErrOutcomeUnknown) {
				t.Fatalf("error %v, want outcome unknown", err)
			}
		}
		s.SetFault(store.Fault{})
		if err := w.fence(t.Context()); err != nil {
			t.Fatal(err)
		}
		for batch := range int64(60) {
			time.Sleep(50 * time.Millisecond)
			v := fmt.Sprint(batch)
			if err := w.write(t.Context(), appendID{batch: batch}, []external.Record{{Key: "j", Value: []byte(v)}}); err != nil {
				continue // the owner sees the error and writes the batch again
			}
			if got := valueOf(t, s, topicsProgress[0], "j"); got != v {
				t.Fatalf("batch %s was confirmed, but the store holds %s", v, got)
			}
		}
	})
}
