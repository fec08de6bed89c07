package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// peerReach bounds the number of a run's peers on each side, in the order of their
	// starts, so that the cost of a step grows with the number of its tasks only.
	peerReach = 32
	// minPeers is the least number of peers with which a run is compared.
	minPeers = 2
	// maxValue bounds a value: a task may take seven times as long as the others of its
	// step for reasons of its own.
	maxValue = 1.0
)

// Exposures holds a share for each neighbour, by profile.
type Exposures map[string]float64

// Run is a run that ended well.
type Run struct {
	Worker     string
	Start, End time.Duration
	// TimeFactor is how long work takes on the worker, relative to 1 for a usual one; 1 if it
	// is not known.
	TimeFactor float64
	// Present is the share of the run's time during which each neighbour was there.
	Present Exposures
}

// Sample is what one run, or one measurement of a serving task, tells of its profile.
type Sample struct {
	At time.Duration
	// Place names the runs with which a run is compared: those on the same worker; for
	// serving tasks, those of the same profile there.
	Place string
	// Value is the logarithm of the duration, or latency, relative to what is usual.
	Value float64
	// Present is the share of time during which each neighbour was there, Contrast the
	// same relative to the runs with which Value compares.
	Present  Exposures
	Contrast Exposures
}

// Contrast compares the runs of one step's tasks. A run without enough others at the
// same time gives no sample.
func Contrast(runs []Run) []Sample {
	runs = slices.Clone(runs)
	slices.SortStableFunc(runs, func(a, b Run) int { return cmp.Compare(a.Start, b.Start) })
	var out []Sample
	for i := range runs {
		peers := peersOf(runs, i)
		if len(peers) < minPeers {
			continue
		}
		r := &runs[i]
		out = append(out, Sample{
			At: r.End, Place: r.Worker, Value: clampValue(r.logDuration() - medianOf(peers)),
			Present: r.Present, Contrast: contrastOf(r, peers),
		})
	}
	return out
}

func (r *Run) logDuration() float64 {
	return math.Log((r.End - r.Start).Seconds() / r.TimeFactor)
}

// peersOf returns the runs that ran at the same time as run i for at least half of the
// shorter one's duration.
func peersOf(runs []Run, i int) []*Run {
	var out []*Run
	r := &runs[i]
	for j := max(0, i-peerReach); j < min(len(runs), i+peerReach+1); j++ {
		o := &runs[j]
		common := min(r.End, o.End) - max(r.Start, o.Start)
		if j != i && 2*common >= min(r.End-r.Start, o.End-o.Start) {
			out = append(out, o)
		}
	}
	return out
}

func medianOf(runs []*Run) float64 {
	var logs []float64
	for _, r := range runs {
		logs = append(logs, r.logDuration())
	}
	slices.Sort(logs)
	n := len(logs)
	return (logs[(n-1)/2] + logs[n/2]) / 2
}

// contrastOf returns the run's exposures minus the mean ones of its peers.
func contrastOf(r *Run, peers []*Run) Exposures {
	out := make(Exposures)
	for p, share := range r.Present {
		out[p] = share
	}
	for _, o := range peers {
		for p, share := range o.Present {
			out[p] -= share / float64(len(peers))
		}
	}
	return out
}

func clampValue(v float64) float64 { return min(max(v, -maxValue), maxValue) }

// Latency returns the sample of a serving task of the given profile whose tail latency is
// the given multiple of its target.
func Latency(at time.Duration, profile, worker string, ofTarget float64, present Exposures) Sample {
	return Sample{At: at, Place: worker + "/" + profile, Value: clampValue(math.Log(ofTarget)), Present: present, Contrast: present}
}
