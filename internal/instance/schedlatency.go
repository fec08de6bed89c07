package instance

import (
	"math"
	"runtime/metrics"
	"slices"
	"time"
)

// schedLatencyMetric is the runtime's histogram of the times that goroutines waited to run.
const schedLatencyMetric = "/sched/latencies:seconds"

// schedLatencyQuantile is the part of the goroutines that waited no longer than what is taken
// for the lag.
const schedLatencyQuantile = 0.9

// schedLatency reads for how long goroutines that are ready to run wait for a processor.
type schedLatency struct {
	sample []metrics.Sample
	// counts are those of the histogram at the last reading.
	counts []uint64
}

func newSchedLatency() *schedLatency {
	s := &schedLatency{sample: []metrics.Sample{{Name: schedLatencyMetric}}}
	s.read()
	return s
}

// read returns the wait of goroutines that have run since the last reading, 0 if none has.
func (s *schedLatency) read() time.Duration {
	metrics.Read(s.sample)
	if s.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := s.sample[0].Value.Float64Histogram()
	before := s.counts
	s.counts = slices.Clone(h.Counts)
	if len(before) != len(h.Counts) {
		return 0
	}
	total := uint64(0)
	for n := range h.Counts {
		total += h.Counts[n] - before[n]
	}
	left := total - uint64(schedLatencyQuantile*float64(total))
	if total == 0 {
		return 0
	}
	for n := len(h.Counts) - 1; n >= 0; n-- {
		count := h.Counts[n] - before[n]
		if count >= left {
			return seconds(h.Buckets[n])
		}
		left -= count
	}
	return 0
}

// seconds converts the lower bound of a bucket, which may be infinite.
func seconds(s float64) time.Duration {
	if math.IsInf(s, 0) || s < 0 {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
