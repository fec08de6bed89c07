package instance

import (
	"context"
	"errors"
	"testing"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/standin/fleet"
	"coltsfootmux/internal/wire"
)

// malformedJobs returns jobs that can be decoded and that no instance would accept.
func malformedJobs() map[string]job.Job {
	step := job.Step{Count: 1, CPU: 1000, EstimateMS: 100}
	return map[string]job.Job{
		"a step after one that does not exist": {ID: "after", Steps: []job.Step{{Count: 1, After: []int{7}}}},
		"a step after itself":                  {ID: "itself", Steps: []job.Step{{Count: 1, After: []int{0}}}},
		"a negative number of tasks":           {ID: "count", Steps: []job.Step{{Count: -1}}},
		"no steps":                             {ID: "none"},
		"too many tasks":                       {ID: "many", Steps: []job.Step{{Count: 1 << 40, Gang: true}}},
		"negative occurrences":                 {ID: "times", Occurrences: -3, Steps: []job.Step{step}},
		"the ID of another job":                {ID: "other", Steps: []job.Step{step}},
	}
}

// recordOf returns a job's record, stored under another ID for the case of that name.
func recordOf(t testing.TB, j job.Job) external.Record {
	t.Helper()
	value, err := encodeRecord(j)
	if err != nil {
		t.Fatal(err)
	}
	name := string(j.ID)
	if name == "other" {
		name = "x"
	}
	return external.Record{Key: keySubmission + name, Value: value}
}

// A record that could be decoded but not run crashed each owner in turn, as the store kept
// it.
func TestMalformedJobRecordIsRejected(t *testing.T) {
	for name, j := range malformedJobs() {
		if _, err := decodeJobRecord(recordOf(t, j)); !errors.Is(err, errInvalidRecord) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// TestUnreadableEntryTakesAWorkerOutOfUse guards against starting tasks on a worker by an
// earlier entry after another writer has replaced it by one that can't be read.
func TestUnreadableEntryTakesAWorkerOutOfUse(t *testing.T) {
	r := newRig(t, 1)
	usable := func() int { return len(r.listedWorkers()) }
	r.waitFor("an owner with its workers", func() bool { return usable() == 4 })
	r.store.Put(testWorkers, "w0", []byte("odd"))
	r.store.Put(testWorkers, "another", []byte("odd"))
	r.waitFor("the list without the worker", func() bool { return usable() == 3 })
	r.store.Put(testWorkers, "w0", []byte("up"))
	r.waitFor("the worker back on the list", func() bool { return usable() == 4 })
}

// listedWorkers returns the workers on the owner's list.
func (r *rig) listedWorkers() []external.WorkerID {
	n := r.owner()
	if n == nil {
		return nil
	}
	o := n.inst.owner.Load()
	if o == nil {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core == nil {
		return nil
	}
	return o.core.Listed()
}

func TestMalformedRecordsDoNotStopAnOwner(t *testing.T) {
	r := newRig(t, 2)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	for _, j := range malformedJobs() {
		rec := recordOf(t, j)
		r.store.Put(topicsJobs[0], rec.Key, rec.Value)
	}
	r.waitFor("accepted", func() bool { return r.submit(r.nodes[0], "sound", 2) == nil })
	r.waitFor("complete", r.isComplete(r.nodes[1], "sound"))
	r.owner().kill()
	r.waitFor("known to the next owner", r.isComplete(r.nonOwner(), "sound"))
	r.checkFleet()
}

// Instances append records for peers that the store refuses.
func TestMalformedRecordsFromPeersAreRefused(t *testing.T) {
	r := newRig(t, 1)
	i := r.nodes[0].inst
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	for name, j := range malformedJobs() {
		rec := recordOf(t, j)
		rep, err := i.onRecordWrite(context.Background(), link.Peer{}, wire.RecordWrite{Topic: string(topicsJobs[0]), Key: rec.Key, Value: rec.Value})
		if err != nil || !rep.Refused {
			t.Errorf("%s: %+v, %v", name, rep, err)
		}
	}
	rep, err := i.onRecordWrite(context.Background(), link.Peer{}, wire.RecordWrite{Topic: string(topicsJobs[0]), Key: keyTerm, Value: []byte{1}})
	if err != nil || !rep.Refused {
		t.Errorf("another key: %+v, %v", rep, err)
	}
}

// FuzzJobRecords decodes arbitrary bytes as a job record and passes the result to a cell.
func FuzzJobRecords(f *testing.F) {
	for _, j := range malformedJobs() {
		f.Add(recordOf(f, j).Value)
	}
	sound, err := encodeRecord(job.Job{ID: "x", Queue: job.Queue{Pool: "p"}, Steps: []job.Step{{Count: 3, CPU: 100, Gang: true}, {Count: 1, After: []int{0}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sound)
	f.Fuzz(func(_ *testing.T, b []byte) {
		rec, err := decodeJobRecord(external.Record{Key: keySubmission + "x", Value: b})
		if err != nil || rec.submitted == nil {
			return
		}
		c := cell.New(cell.Settings{Lease: fleet.MaxLease}, 1, &job.Policy{}, cell.Instant{Mono: 1})
		c.Step(cell.Instant{Mono: 2}, cell.Submitted{Job: *rec.submitted})
		c.Step(cell.Instant{Mono: 3}, cell.Tick{})
	})
}

// FuzzProgressRecords takes over a job whose progress is decoded from arbitrary bytes.
func FuzzProgressRecords(f *testing.F) {
	p := job.Progress{Occurrences: []job.Occurrence{{Index: 0, Steps: []job.StepProgress{{Step: 0, Done: []byte{1}, Failures: map[int][]int64{0: {7}}}}}}}
	sound, err := encodeRecord(progressRecord{Version: recordVersion{Term: 1, Batch: 2}, Progress: p})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sound)
	p.Occurrences[0].Index, p.Occurrences[0].Steps[0].Step = -1, 9
	odd, err := encodeRecord(progressRecord{Progress: p})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(odd)
	f.Fuzz(func(_ *testing.T, b []byte) {
		var rec progressRecord
		if decodeRecord(b, &rec) != nil {
			return
		}
		j := job.Job{ID: "x", Queue: job.Queue{Pool: "p"}, Steps: []job.Step{{Count: 3, CPU: 100}, {Count: 1, After: []int{0}}}}
		c := cell.New(cell.Settings{Lease: fleet.MaxLease}, 1, &job.Policy{}, cell.Instant{Mono: 1})
		c.Step(cell.Instant{Mono: 2}, cell.Loaded{Jobs: []job.Job{j}, Progress: map[job.ID]job.Progress{"x": rec.Progress}})
		_ = c.Status("x").String()
	})
}
