package instance

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/recordset"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/store"
)

// smallLimits are sizes that the records of a few jobs exceed.
var smallLimits = external.StoreLimits{RecordBytes: 600, AppendBytes: 2000}

// newSmallRig returns a rig whose store takes small records only.
func newSmallRig(t *testing.T, instances int) *rig {
	r := newRig(t, 0)
	r.limits = smallLimits
	r.store.SetLimits(smallLimits)
	r.work = 20 * time.Millisecond
	for n := range instances {
		r.addInstance(n)
	}
	return r
}

// submitOccurrences submits a job of one small task that has been due many times.
func (r *rig) submitOccurrences(n *node, id string, occurrences int) error {
	return r.submitDue(n, id, occurrences, 1)
}

// submitDue submits a job of one small task whose first occurrence is due at a time.
func (r *rig) submitDue(n *node, id string, occurrences int, firstDueMS int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	j := &job.Job{
		ID: job.ID(id), Account: "a", Spec: "s", SubmittedMS: time.Now().UnixMilli(), Occurrences: occurrences, FirstDueMS: firstDueMS, IntervalMS: 1,
		Queue: job.Queue{Name: "q", Pool: "p", MaxTries: 3, Stretch: 3, ObjectiveMS: 1000},
		Steps: []job.Step{{Count: 1, CPU: 100, MemMB: 10, EstimateMS: 20}},
	}
	r.fleet.Submit(j)
	return n.inst.Submit(ctx, j)
}

// TestManyOccurrencesDoNotStopTheCell guards against a job whose progress outgrows a record of the
// store: no progress of any job was stored any more.
func TestManyOccurrencesDoNotStopTheCell(t *testing.T) {
	r := newSmallRig(t, 2)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	acceptor := r.nonOwner()
	r.waitFor("accepted", func() bool { return r.submitOccurrences(acceptor, "many", 600) == nil })
	time.Sleep(2 * time.Second)
	r.waitFor("accepted", func() bool { return r.submit(acceptor, "other", 2) == nil })
	r.waitFor("the other job is complete", r.isComplete(acceptor, "other"))
	r.owner().kill()
	r.waitFor("complete under the next owner", r.isComplete(acceptor, "many"))
	r.checkFleet()
	if _, largest, refused := r.store.Sizes(); refused > 0 {
		t.Errorf("%d appends were refused, the largest record has %d bytes", refused, largest)
	}
}

// TestManyJobsThatEndAtOnceDoNotStopTheCell guards against a batch that is larger than an append,
// though each of its records is small.
func TestManyJobsThatEndAtOnceDoNotStopTheCell(t *testing.T) {
	const jobs = 60
	r := newSmallRig(t, 2)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	acceptor, due := r.nonOwner(), time.Now().Add(3*time.Second).UnixMilli()
	name := func(n int) string { return fmt.Sprintf("a-job-with-a-rather-long-name-%d", n) }
	for n := range jobs {
		r.waitFor("accepted", func() bool { return r.submitDue(acceptor, name(n), 1, due) == nil })
	}
	for n := range jobs {
		r.waitFor("complete", r.isComplete(acceptor, name(n)))
	}
	r.checkFleet()
	if _, _, refused := r.store.Sizes(); refused > 0 {
		t.Errorf("%d appends were refused", refused)
	}
}

// refusingStore refuses appends with a record of a key, whatever its size.
type refusingStore struct {
	external.Store
	key string
}

func (s *refusingStore) Append(ctx context.Context, a external.Append) (int64, error) {
	for _, r := range a.Records {
		var rec progressRecord
		if r.Key == s.key && decodeRecord(r.Value, &rec) == nil && rec.Progress.Outcome == job.Open {
			return 0, eris.Wrap(external.ErrInvalidRequest, "refused")
		}
	}
	return s.Store.Append(ctx, a)
}

// TestRefusedProgressCostsOneJob guards against a job whose progress the store never takes and that
// stops all others, under its owner and under the next ones.
func TestRefusedProgressCostsOneJob(t *testing.T) {
	r := newRig(t, 0)
	r.wrapStore = func(s external.Store) external.Store { return &refusingStore{s, "bad"} }
	for n := range 3 {
		r.addInstance(n)
	}
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	acceptor := r.nonOwner()
	r.waitFor("accepted", func() bool { return r.submitOccurrences(acceptor, "bad", 20000) == nil })
	for n := range 5 {
		id := fmt.Sprintf("job-%d", n)
		r.waitFor("accepted", func() bool { return r.submit(acceptor, id, 3) == nil })
		r.waitFor("complete", r.isComplete(acceptor, id))
	}
	failed := func() bool {
		s, err := r.status(acceptor, "bad")
		return err == nil && s == job.StatusFailed
	}
	r.waitFor("the job is shown as failed", failed)
	r.owner().kill()
	r.waitFor("accepted", func() bool { return r.submit(acceptor, "later", 3) == nil })
	r.waitFor("complete under the next owner", r.isComplete(acceptor, "later"))
	r.waitFor("the job is still shown as failed", failed)
	r.checkFleet()
}

// TestJobTooLargeForARecordIsRefusedAtOnce guards against a submission that is tried until its
// deadline, as no topic takes it.
func TestJobTooLargeForARecordIsRefusedAtOnce(t *testing.T) {
	r := newSmallRig(t, 1)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	began := time.Now()
	j := &job.Job{ID: "large", Spec: strings.Repeat("s", 600), Queue: job.Queue{Name: "q", Pool: "p"}, Steps: []job.Step{{Count: 1}}}
	err := r.nodes[0].inst.Submit(ctx, j)
	if took := time.Since(began); !errors.Is(err, job.ErrInvalid) || took > 500*time.Millisecond {
		t.Errorf("%v after %v", err, took)
	}
	if s, err := r.status(r.nodes[0], "large"); err == nil {
		t.Errorf("the job is known: %v", s)
	}
}

// restore returns what a new owner reads of records in the first topic of progress.
func restore(t *testing.T, records []external.Record) cell.Loaded {
	t.Helper()
	s := store.New()
	if _, err := s.Append(t.Context(), external.Append{Topic: topicsProgress[0], Records: records}); err != nil {
		t.Fatal(err)
	}
	p, err := s.Newest(t.Context(), topicsProgress[0])
	if err != nil {
		t.Fatal(err)
	}
	o := &owner{ctx: t.Context(), inst: &Instance{}, progress: newProgressWriter(s, func(external.Topic) bool { return true }, 1)}
	ev := cell.Loaded{Progress: make(map[job.ID]job.Progress)}
	o.decodeProgress([]external.Page{p}, &ev)
	return ev
}

// TestLargestProgressFitsIntoRecords guards against a job of as many tasks as may be, all of which
// have failed and have checkpoints, whose progress the store refuses or a new owner does not read.
func TestLargestProgressFitsIntoRecords(t *testing.T) {
	const tasks = 20000
	for name, c := range map[string]struct{ checkpoint, failures, stored int }{
		"short checkpoints":       {16, 3, tasks},
		"checkpoints of a KB":     {1000, 3, 0},
		"checkpoints of a record": {300_000, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := job.StepProgress{Failures: make(map[int][]int64), Checkpoints: make(map[int]string), Crashes: map[int]int{7: 1}}
			text := strings.Repeat("c", c.checkpoint)
			for n := range tasks {
				s.Checkpoints[n] = text
				for k := range c.failures {
					s.Failures[n] = append(s.Failures[n], int64(512007+k))
				}
			}
			s.MarkDone(tasks - 1)
			e := recordEncoder{limits: store.Limits, version: recordVersion{Term: 500, Batch: 7000}, explicit: true}
			item, dropped, err := e.progress(cell.JobProgress{ID: "0123456789abcdef", Progress: job.Progress{Occurrences: []job.Occurrence{{Steps: []job.StepProgress{s}}}}})
			if err != nil || dropped != tasks-c.stored {
				t.Fatalf("%d checkpoints dropped, %v", dropped, err)
			}
			ev := restore(t, item.Records)
			p := ev.Progress["0123456789abcdef"]
			compact := p.Compact(1)
			got := compact.Occurrences[0].Steps[0]
			if len(ev.Progress) != 1 || len(got.Failures) != tasks || len(got.Failures[19999]) != c.failures || len(got.Checkpoints) != c.stored || !got.IsDone(tasks-1) || got.Crashes[7] != 1 {
				t.Errorf("%d jobs, %d tasks with failures, %d with checkpoints", len(ev.Progress), len(got.Failures), len(got.Checkpoints))
			}
		})
	}
}

// TestRosterOfTheTargetFitsIntoRecords guards against a list of workers that the store refuses: no
// worker that joins is used then.
func TestRosterOfTheTargetFitsIntoRecords(t *testing.T) {
	const machines = 12_664
	var ws []cell.RosterEntry
	for n := range machines {
		ws = append(ws, cell.RosterEntry{ID: external.WorkerID(fmt.Sprintf("lau-mtl-a-%05d/worker", n)), Addr: fmt.Sprintf("10.3.%d.%d:8139", n/250, n%250), Machine: fmt.Sprintf("lau-mtl-a-%05d", n), SpeedPercent: 101, FirstStartedMS: 1_700_000_000_000})
	}
	e := recordEncoder{limits: store.Limits, version: recordVersion{Term: 500, Batch: 7000}}
	item, err := e.roster(ws)
	if err != nil {
		t.Fatal(err)
	}
	got := restore(t, item.Records).Roster
	if len(got) != machines || got[machines-1].ID != ws[machines-1].ID || len(item.Records) < 2 {
		t.Errorf("%d workers in %d records", len(got), len(item.Records))
	}
	for k := range 60_000 {
		ws[0].Runs = append(ws[0].Runs, cell.RosterRun{Task: job.TaskID{Job: "0123456789abcdef", Index: k}, Run: 512007})
	}
	ws[0].RunsKnown = true
	if item, err = e.roster(ws); err != nil {
		t.Fatal(err)
	}
	if got := restore(t, item.Records).Roster; len(got) != machines || got[0].RunsKnown {
		t.Errorf("%d workers, recorded runs of the first: %v", len(got), got[0].RunsKnown)
	}
	e.limits.AppendBytes = e.limits.RecordBytes
	if _, err := e.roster(ws); !errors.Is(err, errTooLarge) {
		t.Errorf("a roster that no append holds: %v", err)
	}
}

// TestProgressIsReadByEarlierVersions guards against occurrences that instances of an earlier version
// repeat after they have taken over, during an upgrade.
func TestProgressIsReadByEarlierVersions(t *testing.T) {
	p := job.Progress{}
	for n := range 2000 {
		p.Ended.Add(n)
	}
	p.Opened.Add(2000)
	for explicit, want := range map[bool]int{true: 2001, false: 0} {
		e := recordEncoder{limits: store.Limits, explicit: explicit}
		item, _, err := e.progress(cell.JobProgress{ID: "j", Progress: p})
		var rec progressRecord
		if err != nil || len(item.Records) != 1 || decodeRecord(item.Records[0].Value, &rec) != nil || len(rec.Progress.Occurrences) != want {
			t.Errorf("explicit %v: %d entries, %v", explicit, len(rec.Progress.Occurrences), err)
		}
		if got := rec.Progress.Compact(3000); got.Ended.Count() != 2000 || !got.Opened.Has(2000) {
			t.Errorf("explicit %v: %+v", explicit, got)
		}
	}
}

// TestIntervalsWaitForAllInstances guards against progress with intervals while an instance of an
// earlier version may take over.
func TestIntervalsWaitForAllInstances(t *testing.T) {
	r := newRig(t, 2)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	reads := func() bool { return r.nodes[0].inst.readsIntervals.Load() }
	r.waitFor("all instances read intervals", func() bool { r.nodes[0].inst.readMembers(t.Context()); return reads() })
	earlier, err := encodeRecord(memberRecord{Addr: "10.0.0.9:7"})
	if err != nil {
		t.Fatal(err)
	}
	r.store.Put(topicMembers, "earlier", earlier)
	r.nodes[0].inst.readMembers(t.Context())
	if reads() {
		t.Error("an instance of an earlier version does not read intervals")
	}
}

// TestRefusedAppendLeavesItsNumberToTheNext guards against a refused append after which the writer
// takes the next one for lost, or never gets any through, also if its answer was lost first.
func TestRefusedAppendLeavesItsNumberToTheNext(t *testing.T) {
	for _, lost := range []bool{false, true} {
		s, w := newTestWriter(t)
		large := []external.Record{{Key: "large", Value: make([]byte, store.Limits.RecordBytes)}}
		if lost {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			s.SetFault(store.Fault{Silent: true})
			if err := w.write(ctx, appendID{batch: 1, number: 1}, large); !errors.Is(err, external.ErrOutcomeUnknown) {
				t.Fatal(err)
			}
			cancel()
			s.SetFault(store.Fault{})
		} else if err := w.write(t.Context(), appendID{batch: 1, number: 1}, large); !errors.Is(err, external.ErrInvalidRequest) {
			t.Fatal(err)
		}
		for n := range 8 {
			if err := w.write(t.Context(), appendID{batch: 1, number: 2 + n}, []external.Record{{Key: "j", Value: []byte{byte('0' + n)}}}); err != nil {
				t.Errorf("lost %v: append %d: %v", lost, n, err)
			}
		}
		if got := valueOf(t, s, topicsProgress[0], "j"); got != "7" {
			t.Errorf("lost %v: stored %q", lost, got)
		}
		if recordset.FitsRecord(store.Limits, large[0]) {
			t.Error("the record is not too large")
		}
	}
}
