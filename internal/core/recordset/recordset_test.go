package recordset

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

const drawnOccurrences = 40

func drawProgress(t *rapid.T) job.Progress {
	var p job.Progress
	for n := range drawnOccurrences {
		switch rapid.IntRange(0, 5).Draw(t, "occurrence") {
		case 0:
		case 1, 2:
			p.Ended.Add(n)
		case 3:
			p.Opened.Add(n)
		default:
			p.Occurrences = append(p.Occurrences, drawOccurrence(t, n))
		}
	}
	return p
}

func drawOccurrence(t *rapid.T, index int) job.Occurrence {
	o := job.Occurrence{Index: index}
	for n := range rapid.IntRange(1, 3).Draw(t, "steps") {
		s := job.StepProgress{Step: n}
		for task := range rapid.IntRange(1, 60).Draw(t, "tasks") {
			switch rapid.IntRange(0, 4).Draw(t, "task") {
			case 0:
				s.MarkDone(task)
			case 1:
				if s.Failures == nil {
					s.Failures = make(map[int][]int64)
				}
				s.Failures[task] = []int64{int64(task) + 1000}
			case 2:
				if s.Checkpoints == nil {
					s.Checkpoints, s.Crashes = make(map[int]string), make(map[int]int)
				}
				s.Checkpoints[task], s.Crashes[task] = fmt.Sprint("c", task), 1
			}
		}
		s.MarkDone(60) // so that the step has made progress
		o.Steps = append(o.Steps, s)
	}
	return o
}

// weight stands for the size of a record.
func weight(p job.Progress) int {
	n := len(p.Ended) + len(p.Opened)
	for _, o := range p.Occurrences {
		n++
		for _, s := range o.Steps {
			n += 1 + len(s.Done)/8 + len(s.Failures) + len(s.Checkpoints) + len(s.Crashes)
		}
	}
	return n
}

// TestPartsOfProgressSayTheSame guards against progress that is lost as it is divided.
func TestPartsOfProgressSayTheSame(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawProgress(rt)
		limit := rapid.IntRange(30, 200).Draw(rt, "limit")
		parts := Divide(p, func(p job.Progress) bool { return weight(p) <= limit }, HalveProgress)
		if parts == nil {
			rt.Fatal("not divided")
		}
		merged := parts[0]
		for n, part := range parts {
			if weight(part) > limit {
				rt.Fatalf("part %d weighs %d", n, weight(part))
			}
			if n > 0 {
				Merge(&merged, part)
			}
		}
		if got, want := merged.Compact(drawnOccurrences), p.Compact(drawnOccurrences); !sameProgress(got, want) {
			rt.Fatalf("%d parts:\n%+v, want\n%+v", len(parts), got, want)
		}
		if explicit := p.Explicit(); !sameProgress(explicit.Compact(drawnOccurrences), p.Compact(drawnOccurrences)) {
			rt.Fatalf("explicit: %+v, want %+v", explicit, p)
		}
	})
}

// sameProgress compares progress by what it says of each task.
func sameProgress(a, b job.Progress) bool {
	if !slices.Equal(a.Ended, b.Ended) || !slices.Equal(a.Opened, b.Opened) || len(a.Occurrences) != len(b.Occurrences) {
		return false
	}
	for n := range a.Occurrences {
		x, y := a.Occurrences[n], b.Occurrences[n]
		if x.Index != y.Index || len(x.Steps) != len(y.Steps) {
			return false
		}
		for k := range x.Steps {
			s, o := &x.Steps[k], &y.Steps[k]
			for task := range 64 {
				if s.IsDone(task) != o.IsDone(task) {
					return false
				}
			}
			if !sameMap(s.Failures, o.Failures) || !sameMap(s.Checkpoints, o.Checkpoints) || !sameMap(s.Crashes, o.Crashes) {
				return false
			}
		}
	}
	return true
}

func sameMap[V any](a, b map[int]V) bool {
	return len(a) == 0 && len(b) == 0 || reflect.DeepEqual(a, b)
}

// TestPlanWritesAllButWhatIsRefused guards against items that are not written, or are taken for
// refused, as the store refuses others.
func TestPlanWritesAllButWhatIsRefused(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limits := external.StoreLimits{AppendBytes: rapid.IntRange(40, 400).Draw(rt, "append bytes")}
		var items []Item
		bad := make(map[string]bool)
		for n := range rapid.IntRange(0, 40).Draw(rt, "items") {
			key := fmt.Sprintf("k%02d", n)
			items = append(items, Item{Key: key, Records: []external.Record{{Key: key, Value: make([]byte, rapid.IntRange(1, 20).Draw(rt, "bytes"))}}})
			if rapid.IntRange(0, 9).Draw(rt, "bad") == 0 {
				bad[key] = true
			}
		}
		p := NewPlan(limits, items)
		var written []string
		for steps := 0; ; steps++ {
			s, ok := p.Next()
			if !ok {
				break
			}
			if steps > 1000 {
				rt.Fatal("no end")
			}
			if !FitsAppend(limits, s.Records()) {
				rt.Fatalf("an append of %d bytes", external.AppendSize(s.Records()))
			}
			if rapid.IntRange(0, 9).Draw(rt, "fails") == 0 {
				p.Answered(Failed)
				continue
			}
			if slices.ContainsFunc(s.Items, func(i Item) bool { return bad[i.Key] }) {
				p.Answered(Refused)
				continue
			}
			for _, i := range s.Items {
				written = append(written, i.Key)
			}
			p.Answered(Written)
		}
		wrong := slices.ContainsFunc(p.RefusedKeys(), func(key string) bool { return !bad[key] })
		if wrong || len(p.RefusedKeys()) != len(bad) || !slices.IsSorted(written) || len(written)+len(bad) != len(items) {
			rt.Fatalf("%d items, bad %v, written %v, refused %v", len(items), bad, written, p.RefusedKeys())
		}
	})
}

// TestNoItemIsAtFaultForAStoreThatRefusesAll guards against jobs that fail as the store refuses
// every append for a while.
func TestNoItemIsAtFaultForAStoreThatRefusesAll(t *testing.T) {
	p := NewPlan(external.StoreLimits{}, []Item{{Key: "a"}, {Key: "b"}})
	for range 20 {
		if _, ok := p.Next(); !ok {
			t.Fatal("the plan is over")
		}
		p.Answered(Refused)
	}
	for s, ok := p.Next(); ok; s, ok = p.Next() {
		if len(s.Items) == 0 {
			p.Answered(Refused)
			continue
		}
		p.Answered(Written)
	}
	if len(p.RefusedKeys()) > 0 {
		t.Errorf("refused: %v", p.RefusedKeys())
	}
}

// TestOnlyLongCheckpointsAreDropped guards against the loss of other progress.
func TestOnlyLongCheckpointsAreDropped(t *testing.T) {
	p := job.Progress{Occurrences: []job.Occurrence{{Steps: []job.StepProgress{{Done: []byte{1}, Checkpoints: map[int]string{1: "short", 2: "much longer"}}}}}}
	out, dropped := WithCheckpointsUpTo(p, 5)
	s := out.Occurrences[0].Steps[0]
	if dropped != 1 || !s.IsDone(0) || s.Checkpoints[1] != "short" || len(s.Checkpoints) != 1 || len(p.Occurrences[0].Steps[0].Checkpoints) != 2 {
		t.Errorf("%d dropped of %+v: %+v", dropped, p, out)
	}
}

// TestChunksFitIntoAppends guards against tombstones of more jobs than an append holds.
func TestChunksFitIntoAppends(t *testing.T) {
	limits := external.StoreLimits{AppendBytes: 100}
	var records []external.Record
	for n := range 50 {
		records = append(records, external.Record{Key: fmt.Sprintf("key%02d", n)})
	}
	var again []external.Record
	for _, c := range Chunks(limits, records) {
		if !FitsAppend(limits, c) {
			t.Errorf("%d bytes", external.AppendSize(c))
		}
		again = append(again, c...)
	}
	if !reflect.DeepEqual(again, records) || len(Chunks(limits, nil)) != 0 || len(Chunks(external.StoreLimits{}, records)) != 1 {
		t.Errorf("%d records of %d", len(again), len(records))
	}
}
