package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one scheduled request.
type Arrival struct {
	// At is the planned time of sending, since the start of the load.
	At   time.Duration
	Spec *KindSpec
	// RunTime is how long the request's task runs.
	RunTime time.Duration
}

// maxRunTimeDeviation is the largest deviation of a run time from the mean, as a
// fraction of the mean.
const maxRunTimeDeviation = 0.5

// Schedule draws the arrivals of a mix over the duration. Each kind is a Poisson
// process whose rate is multiplied by scale. The same seed gives the same schedule.
func Schedule(mix []KindSpec, duration time.Duration, scale float64, seed uint64) []Arrival {
	var out []Arrival
	for i := range mix {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		out = append(out, drawArrivals(&mix[i], duration, scale, rng)...)
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return out
}

func drawArrivals(k *KindSpec, duration time.Duration, scale float64, rng *rand.Rand) []Arrival {
	var out []Arrival
	rate := k.RequestsPerSecond * scale
	if rate <= 0 {
		return nil
	}
	for at := 0.0; ; {
		at += rng.ExpFloat64() / rate
		when := time.Duration(at * float64(time.Second))
		if when >= duration {
			return out
		}
		factor := 1 + maxRunTimeDeviation*(2*rng.Float64()-1)
		out = append(out, Arrival{At: when, Spec: k, RunTime: time.Duration(float64(k.MeanRunTime) * factor)})
	}
}
