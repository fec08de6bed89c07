package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one request of an open-loop schedule.
type Arrival struct {
	// At is when it is sent, from the start of the run.
	At   time.Duration
	Spec *KindSpec
	// RunTime is how long its task takes.
	RunTime time.Duration
}

// runSpread bounds how far single run times are from the mean, up and down.
const runSpread = 0.5

// Schedule draws the arrivals of a mix over a time: each kind is a Poisson
// process. The same seed gives the same schedule.
func Schedule(mix []KindSpec, d time.Duration, scale float64, seed uint64) []Arrival {
	var out []Arrival
	for i := range mix {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		out = append(out, draw(&mix[i], d, scale, rng)...)
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return out
}

func draw(k *KindSpec, d time.Duration, scale float64, rng *rand.Rand) []Arrival {
	var out []Arrival
	rate := k.RequestsPerSecond * scale
	if rate <= 0 {
		return nil
	}
	for at := 0.0; ; {
		at += rng.ExpFloat64() / rate
		when := time.Duration(at * float64(time.Second))
		if when >= d {
			return out
		}
		factor := 1 + runSpread*(2*rng.Float64()-1)
		out = append(out, Arrival{At: when, Spec: k, RunTime: time.Duration(float64(k.MeanRunTime) * factor)})
	}
}
