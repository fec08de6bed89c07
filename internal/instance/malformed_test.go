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

// malformed gives jobs that can be decoded and that no instance would accept.
func malformed() map[string]job.Job {
	step := job.Step{Count: 1, CPU: 1000, EstimateMS: 100}
	return map[string]job.Job{
		"a step after one that there is not": {ID: "after", Steps: []job.Step{{Count: 1, After: []int{7}}}},
		"a step after itself":                {ID: "itself", Steps: []job.Step{{Count: 1, After: []int{0}}}},
		"a negative number of tasks":         {ID: "count", Steps: []job.Step{{Count: -1}}},
		"no steps":                           {ID: "none"},
		"too many tasks":                     {ID: "many", Steps: []job.Step{{Count: 1 << 40, Gang: true}}},
		"negative occurrences":               {ID: "times", Occurrences: -3, Steps: []job.Step{step}},
		"the name of another job":            {ID: "other", Steps: []job.Step{step}},
	}
}

// recordOf gives a job's record, under another name for the job of that case.
func recordOf(t testing.TB, j job.Job) external.Record {
	t.Helper()
	value, err := encode(j)
	if err != nil {
		t.Fatal(err)
	}
	name := string(j.ID)
	if name == "other" {
		name = "x"
	}
	return external.Record{Key: keySubmission + name, Value: value}
}

// TestAMalformedJobRecordIsNotUnderstood: a record that could be decoded took down
// each owner that read it, one after the other, as the store keeps it.
func TestAMalformedJobRecordIsNotUnderstood(t *testing.T) {
	for name, j := range malformed() {
		if _, err := readJobRecord(recordOf(t, j)); !errors.Is(err, errRecord) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

func TestOneMalformedRecordTakesNoOwnerDown(t *testing.T) {
	r := newRig(t, 2)
	r.wait("an owner", func() bool { return r.owner() != nil })
	for _, j := range malformed() {
		rec := recordOf(t, j)
		r.store.Put(topicsJobs[0], rec.Key, rec.Value)
	}
	r.wait("accepted", func() bool { return r.submit(r.nodes[0], "sound", 2) == nil })
	r.wait("complete", r.complete(r.nodes[1], "sound"))
	r.owner().kill()
	r.wait("known to the next owner", r.complete(r.other(), "sound"))
	r.checkFleet()
}

// TestNoPeerGetsAMalformedRecordIntoTheStore: instances append records for peers
// that the store turns away.
func TestNoPeerGetsAMalformedRecordIntoTheStore(t *testing.T) {
	r := newRig(t, 1)
	i := r.nodes[0].inst
	r.wait("an owner", func() bool { return r.owner() != nil })
	for name, j := range malformed() {
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

// FuzzJobRecords takes any bytes through reading and into a cell.
func FuzzJobRecords(f *testing.F) {
	for _, j := range malformed() {
		f.Add(recordOf(f, j).Value)
	}
	sound, err := encode(job.Job{ID: "x", Queue: job.Queue{Pool: "p"}, Steps: []job.Step{{Count: 3, CPU: 100, Gang: true}, {Count: 1, After: []int{0}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sound)
	f.Fuzz(func(_ *testing.T, b []byte) {
		rec, err := readJobRecord(external.Record{Key: keySubmission + "x", Value: b})
		if err != nil || rec.submitted == nil {
			return
		}
		c := cell.New(cell.Settings{Lease: fleet.MaxLease}, 1, &job.Policy{}, cell.Instant{Mono: 1})
		c.Step(cell.Instant{Mono: 2}, cell.Submitted{Job: *rec.submitted})
		c.Step(cell.Instant{Mono: 3}, cell.Tick{})
	})
}

// FuzzProgressRecords takes any bytes as the progress of a job that is taken over.
func FuzzProgressRecords(f *testing.F) {
	p := job.Progress{Occurrences: []job.Occurrence{{Index: 0, Steps: []job.StepProgress{{Step: 0, Done: []byte{1}, Failures: map[int][]int64{0: {7}}}}}}}
	sound, err := encode(progressRecord{Stamp: stamp{Term: 1, Batch: 2}, Progress: p})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sound)
	p.Occurrences[0].Index, p.Occurrences[0].Steps[0].Step = -1, 9
	odd, err := encode(progressRecord{Progress: p})
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
