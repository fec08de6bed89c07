package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// taskVariance is the variance of the logarithm of the run times of one step's tasks,
	// which differ by 0.15 to 0.3.
	taskVariance = 0.25 * 0.25
	// medianVariance is the variance of a median of n values as a multiple of that of
	// their mean.
	medianVariance = math.Pi / 2
	// minOthers is the least number of other tasks to compare a run with. They must also be
	// at least half of those that have started: the first to show progress are the fast
	// ones.
	minOthers = 3
)

// Step holds the durations of a step's tasks. The zero value has none.
type Step struct {
	samples []sample
}

type sample struct {
	index       int
	logDuration float64
	worker      *Worker
}

// Clone returns a copy that refers to the workers that workerOf returns for its own.
func (s *Step) Clone(workerOf func(*Worker) *Worker) Step {
	out := Step{samples: slices.Clone(s.samples)}
	for i := range out.samples {
		out.samples[i].worker = workerOf(out.samples[i].worker)
	}
	return out
}

// Record records the duration of a task on a worker, as it was or as its progress shows it.
// It replaces what was recorded of the task before.
func (s *Step) Record(index int, d time.Duration, on *Worker) {
	if d <= 0 {
		return
	}
	n := sample{index, math.Log(d.Seconds()), on}
	if at := slices.IndexFunc(s.samples, func(o sample) bool { return o.index == index }); at >= 0 {
		s.samples[at] = n
		return
	}
	s.samples = append(s.samples, n)
}

// Compare returns what a task's duration shows of its worker, compared with the other
// tasks; started is the number of tasks of the step that have started. The others'
// durations are related to their own workers' factors, or a step whose tasks all run on fast
// workers would show them as usual ones. ok is false if too few others are known.
func (s *Step) Compare(now time.Duration, index, started int) (e Evidence, ok bool) {
	var own float64
	others := make([]float64, 0, len(s.samples))
	for _, o := range s.samples {
		if o.index == index {
			own, ok = o.logDuration, true
			continue
		}
		others = append(others, o.logDuration-o.worker.Estimate(now).Log)
	}
	if !ok || len(others) < minOthers || 2*len(others) < started-1 {
		return Evidence{}, false
	}
	slices.Sort(others)
	n := len(others)
	median := (others[(n-1)/2] + others[n/2]) / 2
	return Evidence{LogFactor: own - median, Variance: taskVariance * (1 + medianVariance/float64(n)), Share: 1}, true
}

// CompareWith returns what a duration shows of its worker, compared with a usual run time
// whose logarithm has the given standard deviation.
func CompareWith(d, usual time.Duration, deviation float64) (e Evidence, ok bool) {
	if d <= 0 || usual <= 0 {
		return Evidence{}, false
	}
	return Evidence{LogFactor: math.Log(d.Seconds() / usual.Seconds()), Variance: taskVariance + deviation*deviation, Share: 1}, true
}
