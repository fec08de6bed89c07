package recordset

import (
	"maps"
	"math"
	"slices"

	"coltsfootmux/internal/job"
)

// HalveProgress divides the progress of a job into two that say the same together, see Merge: by
// its occurrences, else by the steps of the only one, else by the tasks of the only step. ok is
// false if it is about one task.
func HalveProgress(p job.Progress) (first, second job.Progress, ok bool) {
	first = p
	if a, b, ok := HalveList(p.Occurrences); ok {
		first.Occurrences, second.Occurrences = a, b
		return first, second, true
	}
	if len(p.Ended) > 0 || len(p.Opened) > 0 {
		return halveIntervals(p)
	}
	if len(p.Occurrences) == 0 {
		return first, second, false
	}
	o := p.Occurrences[0]
	a, b, ok := halveSteps(o.Steps)
	first.Occurrences = []job.Occurrence{{Index: o.Index, Steps: a}}
	second.Occurrences = []job.Occurrence{{Index: o.Index, Steps: b}}
	return first, second, ok
}

// halveIntervals divides the intervals of a progress, or its intervals from its only occurrence.
func halveIntervals(p job.Progress) (first, second job.Progress, ok bool) {
	first, second = p, job.Progress{Occurrences: p.Occurrences}
	first.Occurrences = nil
	if len(p.Occurrences) > 0 {
		return first, second, true
	}
	if len(p.Ended) > 0 && len(p.Opened) > 0 {
		first.Opened, second.Opened = nil, p.Opened
		return first, second, true
	}
	first.Ended, second.Ended = p.Ended[:len(p.Ended)/2], p.Ended[len(p.Ended)/2:]
	first.Opened, second.Opened = p.Opened[:len(p.Opened)/2], p.Opened[len(p.Opened)/2:]
	return first, second, len(p.Ended)+len(p.Opened) > 1
}

func halveSteps(steps []job.StepProgress) (first, second []job.StepProgress, ok bool) {
	if a, b, ok := HalveList(steps); ok {
		return a, b, true
	}
	if len(steps) == 0 {
		return nil, nil, false
	}
	a, b, ok := halveTasks(steps[0])
	return []job.StepProgress{a}, []job.StepProgress{b}, ok
}

// halveTasks divides the progress of a step between the tasks below a multiple of 8 and the others.
func halveTasks(s job.StepProgress) (first, second job.StepProgress, ok bool) {
	low, high, any := taskRange(&s)
	middle := (low + (high-low)/2 + 8) / 8 * 8
	if !any || middle > high {
		return s, job.StepProgress{Step: s.Step}, false
	}
	first, second = job.StepProgress{Step: s.Step}, job.StepProgress{Step: s.Step}
	if middle/8 < len(s.Done) {
		first.Done = slices.Clip(s.Done[:middle/8])
		second.Done = append(make([]byte, middle/8), s.Done[middle/8:]...)
	} else {
		first.Done = s.Done
	}
	first.Failures, second.Failures = halveMap(s.Failures, middle)
	first.Checkpoints, second.Checkpoints = halveMap(s.Checkpoints, middle)
	first.Crashes, second.Crashes = halveMap(s.Crashes, middle)
	first.StartCrashes, second.StartCrashes = halveMap(s.StartCrashes, middle)
	return first, second, true
}

// taskRange returns the lowest and the highest task of which the step has progress.
func taskRange(s *job.StepProgress) (low, high int, any bool) {
	add := func(task int) {
		if !any || task < low {
			low = task
		}
		if !any || task > high {
			high = task
		}
		any = true
	}
	for n, b := range s.Done {
		if b != 0 {
			add(8 * n)
			add(8*n + 7)
		}
	}
	addKeys(s.Failures, add)
	addKeys(s.Checkpoints, add)
	addKeys(s.Crashes, add)
	addKeys(s.StartCrashes, add)
	return low, high, any
}

func addKeys[V any](m map[int]V, add func(int)) {
	for task := range m {
		add(task)
	}
}

func halveMap[V any](m map[int]V, middle int) (below, others map[int]V) {
	for task, v := range m {
		into := &others
		if task < middle {
			into = &below
		}
		if *into == nil {
			*into = make(map[int]V)
		}
		(*into)[task] = v
	}
	return below, others
}

// Merge adds a part of a job's progress to the parts before it. Intervals are added as they are, see
// job.Progress.Compact.
func Merge(into *job.Progress, part job.Progress) {
	into.Ended = append(into.Ended, part.Ended...)
	into.Opened = append(into.Opened, part.Opened...)
	for _, o := range part.Occurrences {
		last := len(into.Occurrences) - 1
		if last < 0 || into.Occurrences[last].Index != o.Index {
			into.Occurrences = append(into.Occurrences, o)
			continue
		}
		into.Occurrences[last].Steps = mergeSteps(into.Occurrences[last].Steps, o.Steps)
	}
}

func mergeSteps(into, part []job.StepProgress) []job.StepProgress {
	for n := range part {
		last := len(into) - 1
		if last < 0 || into[last].Step != part[n].Step {
			into = append(into, part[n])
			continue
		}
		mergeTasks(&into[last], &part[n])
	}
	return into
}

func mergeTasks(into, part *job.StepProgress) {
	for len(into.Done) < len(part.Done) {
		into.Done = append(into.Done, 0)
	}
	for n, b := range part.Done {
		into.Done[n] |= b
	}
	mergeMap(&into.Failures, part.Failures)
	mergeMap(&into.Checkpoints, part.Checkpoints)
	mergeMap(&into.Crashes, part.Crashes)
	mergeMap(&into.StartCrashes, part.StartCrashes)
}

func mergeMap[V any](into *map[int]V, part map[int]V) {
	if *into == nil {
		*into = part
		return
	}
	maps.Copy(*into, part)
}

// CheckpointBytes returns the size of all checkpoints together.
func CheckpointBytes(p job.Progress) int {
	n := 0
	for _, o := range p.Occurrences {
		for _, s := range o.Steps {
			for _, c := range s.Checkpoints {
				n += len(c)
			}
		}
	}
	return n
}

// WithCheckpointsUpTo returns the progress without the checkpoints of more than the given number of
// bytes, and how many these are. A task without one starts from its beginning.
func WithCheckpointsUpTo(p job.Progress, limit int) (out job.Progress, dropped int) {
	if limit == math.MaxInt {
		return p, 0
	}
	out = p
	out.Occurrences = make([]job.Occurrence, len(p.Occurrences))
	for n, o := range p.Occurrences {
		steps := make([]job.StepProgress, len(o.Steps))
		for k, s := range o.Steps {
			steps[k] = s
			steps[k].Checkpoints = nil
			for task, c := range s.Checkpoints {
				if len(c) > limit {
					dropped++
					continue
				}
				if steps[k].Checkpoints == nil {
					steps[k].Checkpoints = make(map[int]string)
				}
				steps[k].Checkpoints[task] = c
			}
		}
		o.Steps = steps
		out.Occurrences[n] = o
	}
	return out, dropped
}
