package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minWave is the least number of runs that are compared with each other.
	minWave = 3
	// maxValue bounds a value: a task may take seven times as long as the others of its
	// step for reasons of its own. Workers that differ by a factor of two stay within it.
	maxValue = 1.5
	// latencySlot is the time within which latencies of a step are compared. Workers are
	// asked at least every 1.8 s.
	latencySlot = 2 * time.Second
)

// Exposures holds, by profile, the share of time during which a neighbour was there.
type Exposures map[string]float64

// Run is a run that ended well.
type Run struct {
	Worker     string
	Start, End time.Duration
	// TimeFactor is how long work takes on the worker, relative to 1 for a usual one; 1 if it
	// is not known.
	TimeFactor float64
	Present    Exposures
}

// Sample is what one run, or one measurement of a serving task, tells of its profile.
type Sample struct {
	At     time.Duration
	Worker string
	// Value is the logarithm of the duration, or latency, relative to what is usual.
	Value   float64
	Present Exposures
	// wave identifies the samples of the same step at the same time.
	wave wave
}

// wave is a set of samples that busy times concern alike.
type wave struct {
	step  string
	start time.Duration
}

// Samples returns what the runs of one step's tasks tell. Runs without enough others at the
// same time give no sample.
func Samples(step string, runs []Run) []Sample {
	runs = slices.Clone(runs)
	slices.SortStableFunc(runs, func(a, b Run) int { return cmp.Compare(a.Start, b.Start) })
	var out []Sample
	for len(runs) > 0 {
		n := 1
		for n < len(runs) && runs[0].overlaps(&runs[n]) {
			n++
		}
		if n >= minWave {
			out = append(out, samplesOfWave(step, runs[:n])...)
		}
		runs = runs[n:]
	}
	return out
}

// overlaps reports whether two runs ran at the same time for at least half of the shorter
// one's duration.
func (r *Run) overlaps(o *Run) bool {
	common := min(r.End, o.End) - max(r.Start, o.Start)
	return 2*common >= min(r.End-r.Start, o.End-o.Start)
}

func samplesOfWave(step string, runs []Run) []Sample {
	logs := make([]float64, len(runs))
	for i, r := range runs {
		logs[i] = math.Log((r.End - r.Start).Seconds() / r.TimeFactor)
	}
	sorted := slices.Sorted(slices.Values(logs))
	median := (sorted[(len(logs)-1)/2] + sorted[len(logs)/2]) / 2
	var out []Sample
	for i, r := range runs {
		out = append(out, Sample{
			At: r.End, Worker: r.Worker, Value: clampValue(logs[i] - median), Present: r.Present,
			wave: wave{step: step, start: runs[0].Start},
		})
	}
	return out
}

func clampValue(v float64) float64 { return min(max(v, -maxValue), maxValue) }

// Latency returns the sample of a step's serving task whose tail latency is the given
// multiple of its target.
func Latency(at time.Duration, step, worker string, ofTarget float64, present Exposures) Sample {
	return Sample{
		At: at, Worker: worker, Value: clampValue(math.Log(ofTarget)), Present: present,
		wave: wave{step: step, start: at.Truncate(latencySlot)},
	}
}
