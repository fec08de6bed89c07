package predict

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func TestWithoutEndedRunsTheEstimateIsPredicted(t *testing.T) {
	q := Queue{}
	for _, estimate := range []time.Duration{50 * time.Millisecond, 2 * time.Second, 5 * time.Minute} {
		p := q.Predict(estimate)
		if d := p.Middle() - estimate; d.Abs() > time.Millisecond {
			t.Errorf("%v for an estimate of %v", p.Middle(), estimate)
		}
		if p.High() < p.Middle() || p.High() > 2*estimate {
			t.Errorf("%v at the high end for an estimate of %v", p.High(), estimate)
		}
	}
}

func TestRunsWithoutAnEstimateHaveNoPrediction(t *testing.T) {
	q := Queue{}
	q.Ended(time.Second, time.Second)
	if p := q.Predict(0); p.Middle() != 0 || p.High() != 0 {
		t.Errorf("%v, %v", p.Middle(), p.High())
	}
}

// load is a queue whose run times and estimates have the given spreads: standard
// deviations of the logarithms.
type load struct {
	timeSpread, errorSpread, bias float64
}

// next returns a run time around 2.5 s and its estimate.
func (l load) next(rng *rand.Rand) (took, estimate time.Duration) {
	logTime := math.Log(2.5) + l.timeSpread*rng.NormFloat64()
	logEstimate := logTime - l.bias + l.errorSpread*rng.NormFloat64()
	seconds := func(log float64) time.Duration { return time.Duration(math.Exp(log) * float64(time.Second)) }
	return seconds(logTime), seconds(logEstimate)
}

// measure plays a load and returns the mean size of the logarithmic error of the
// prediction's middle and of the estimate, and the share of runs above the high end.
func measure(l load, seed uint64) (byPrediction, byEstimate, aboveHigh float64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	q := Queue{}
	const warmUp, runs = 60, 2000
	for n := range warmUp + runs {
		took, estimate := l.next(rng)
		if p := q.Predict(estimate); n >= warmUp {
			byPrediction += math.Abs(math.Log(took.Seconds()/p.Middle().Seconds())) / runs
			byEstimate += math.Abs(math.Log(took.Seconds()/estimate.Seconds())) / runs
			if took > p.High() {
				aboveHigh += 1.0 / runs
			}
		}
		q.Ended(estimate, took)
	}
	return byPrediction, byEstimate, aboveHigh
}

// Estimates that are wrong by up to a factor of ten say less than the run times of the
// queue; estimates that are right say more.
func TestPredictionUnderDifferentLoads(t *testing.T) {
	for name, c := range map[string]struct {
		load load
		// gain is how many times smaller than the estimate's the error must be.
		gain float64
	}{
		"estimates ten times off, alike run times": {load{timeSpread: 0.5, errorSpread: 0.95}, 2},
		"estimates ten times off, biased":          {load{timeSpread: 0.5, errorSpread: 0.95, bias: 0.5}, 2},
		"estimates that are half the run time":     {load{timeSpread: 0.6, errorSpread: 0.3, bias: 0.7}, 2},
		"good estimates, run times of any length":  {load{timeSpread: 1.5, errorSpread: 0.2}, 0.95},
		"estimates that fit":                       {load{timeSpread: 0.5, errorSpread: 0.3}, 0.95},
	} {
		t.Run(name, func(t *testing.T) {
			got, byEstimate, above := measure(c.load, 1)
			if byEstimate < c.gain*got {
				t.Errorf("error %.2f, that of the estimate %.2f; want %.2f times less", got, byEstimate, c.gain)
			}
			if above > 0.1 {
				t.Errorf("%.1f %% of the runs are above the high end", 100*above)
			}
		})
	}
}

// A queue whose work changes is predicted by its new runs.
func TestPredictionFollowsAChangeOfWork(t *testing.T) {
	q := Queue{}
	for range 2000 {
		q.Ended(time.Second, time.Second)
	}
	for range 3 * memory {
		q.Ended(time.Second, 8*time.Second)
	}
	if p := q.Predict(time.Second); p.Middle() < 6*time.Second {
		t.Errorf("%v is predicted for runs of 8 s", p.Middle())
	}
}
