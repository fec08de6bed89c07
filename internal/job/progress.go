package job

import (
	"cmp"
	"slices"
)

// Outcome is how a job ended.
type Outcome int

// The outcomes of a job. Open means that it has not ended.
const (
	Open Outcome = iota
	Complete
	Failed
	Cancelled
)

// Progress is the durable state of a job: the tasks that are done, and the failed
// runs and checkpoints of the others. Running tasks are not part of it, as workers
// list them.
type Progress struct {
	Outcome Outcome `cbor:"1,keyasint,omitempty"`
	// EndedMS is when the job ended, in Unix milliseconds.
	EndedMS int64 `cbor:"2,keyasint,omitempty"`
	// Occurrences holds the open occurrences of which tasks have made progress, and those that
	// Ended and Opened would hold if the record may be read by a version without these.
	Occurrences []Occurrence `cbor:"3,keyasint,omitempty"`
	// Ended holds the occurrences that have ended, Opened open ones without progress.
	Ended  Intervals `cbor:"4,keyasint,omitempty"`
	Opened Intervals `cbor:"5,keyasint,omitempty"`
}

// HasBegun reports whether an occurrence of the job has been opened.
func (p *Progress) HasBegun() bool {
	return len(p.Occurrences) > 0 || len(p.Ended) > 0 || len(p.Opened) > 0
}

// Compact returns the progress of a job of count occurrences with Ended and Opened in place of
// the entries that say no more, and without what is out of range.
func (p *Progress) Compact(count int) Progress {
	out := Progress{Outcome: p.Outcome, EndedMS: p.EndedMS, Ended: p.Ended.within(0, count-1), Opened: p.Opened.within(0, count-1)}
	for _, o := range p.Occurrences {
		switch {
		case o.Index < 0 || o.Index >= count:
		case o.Done:
			out.Ended.Add(o.Index)
		case len(o.Steps) == 0:
			out.Opened.Add(o.Index)
		default:
			out.Occurrences = append(out.Occurrences, o)
		}
	}
	return out
}

// Explicit returns the progress with an entry for each occurrence, as versions without Ended and
// Opened read it.
func (p *Progress) Explicit() Progress {
	out := Progress{Outcome: p.Outcome, EndedMS: p.EndedMS, Occurrences: slices.Clone(p.Occurrences)}
	for n := range p.Ended.All() {
		out.Occurrences = append(out.Occurrences, Occurrence{Index: n, Done: true})
	}
	for n := range p.Opened.All() {
		out.Occurrences = append(out.Occurrences, Occurrence{Index: n})
	}
	slices.SortFunc(out.Occurrences, func(a, b Occurrence) int { return cmp.Compare(a.Index, b.Index) })
	return out
}

// Occurrence is the progress of one occurrence of a job.
type Occurrence struct {
	Index int            `cbor:"1,keyasint,omitempty"`
	Done  bool           `cbor:"2,keyasint,omitempty"`
	Steps []StepProgress `cbor:"3,keyasint,omitempty"`
}

// StepProgress is the progress of one step's tasks. A gang is recorded as task 0.
type StepProgress struct {
	Step int `cbor:"1,keyasint,omitempty"`
	// Done is a bit set of the tasks that are done, lowest bit first.
	Done []byte `cbor:"2,keyasint,omitempty"`
	// Failures holds the numbers of the failed runs by task, since workers may list
	// the same ended run again to a later owner of the cell.
	Failures map[int][]int64 `cbor:"3,keyasint,omitempty"`
	// Checkpoints holds the latest checkpoint by task.
	Checkpoints map[int]string `cbor:"4,keyasint,omitempty"`
	// Crashes counts the workers that have crashed under a task since a run of it last survived,
	// by task. Here each member of a gang counts as a task.
	Crashes map[int]int `cbor:"5,keyasint,omitempty"`
	// StartCrashes counts those of them that crashed at the start of the task's run.
	StartCrashes map[int]int `cbor:"6,keyasint,omitempty"`
}

// MarkDone records that a task is done.
func (s *StepProgress) MarkDone(task int) {
	for len(s.Done) <= task/8 {
		s.Done = append(s.Done, 0)
	}
	s.Done[task/8] |= 1 << (task % 8)
}

// IsDone reports whether a task is done.
func (s *StepProgress) IsDone(task int) bool {
	return task/8 < len(s.Done) && s.Done[task/8]&(1<<(task%8)) != 0
}
