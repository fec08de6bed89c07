package predict

import (
	"math"
	"time"
)

const (
	// memory is how many ended runs a queue remembers; older ones fade.
	memory = 200
	// priorWeight is how many runs the assumptions before the first run count for.
	priorWeight = 5
	// priorErrorVariance and priorTimeVariance are the variances of the logarithms that
	// are assumed at first: estimates that are right within a third, and run times that
	// may be anything.
	priorErrorVariance = 0.1
	priorTimeVariance  = 4.0
	// minVariance keeps a queue of equal runs from becoming certain.
	minVariance = 0.01
)

// Queue learns from the ended runs of one queue. The zero value has seen none.
type Queue struct {
	// estimateError is about log(true / estimated), runTime about log(true) in seconds.
	estimateError moments
	runTime       moments
}

// Ended records a run that took the time took, for which its caller had estimated
// estimate.
func (q *Queue) Ended(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	q.estimateError.add(math.Log(took.Seconds() / estimate.Seconds()))
	q.runTime.add(math.Log(took.Seconds()))
}

// Predict returns the prediction for a run with the given estimate.
func (q *Queue) Predict(estimate time.Duration) Prediction {
	if estimate <= 0 {
		return Prediction{}
	}
	errorMean, errorVariance := q.estimateError.withPrior(0, priorErrorVariance)
	byEstimate := math.Log(estimate.Seconds()) + errorMean
	if q.runTime.weight == 0 {
		return Prediction{logMean: byEstimate, deviation: math.Sqrt(errorVariance), known: true}
	}
	timeMean, timeVariance := q.runTime.withPrior(q.runTime.mean, priorTimeVariance)
	precision := 1/errorVariance + 1/timeVariance
	return Prediction{
		logMean:   (byEstimate/errorVariance + timeMean/timeVariance) / precision,
		deviation: math.Sqrt(1 / precision), known: true,
	}
}

// Prediction is a distribution of a run time: its logarithm is normal.
type Prediction struct {
	logMean   float64
	deviation float64
	known     bool
}

// Middle returns the run time that is exceeded as often as not.
func (p Prediction) Middle() time.Duration { return p.quantile(0) }

// High returns a run time that is seldom exceeded: once in twenty runs.
func (p Prediction) High() time.Duration {
	const deviations = 1.64
	return p.quantile(deviations)
}

// Deviation returns the standard deviation of the logarithm of the run time.
func (p Prediction) Deviation() float64 { return p.deviation }

func (p Prediction) quantile(deviations float64) time.Duration {
	if !p.known {
		return 0
	}
	return time.Duration(math.Exp(p.logMean+deviations*p.deviation) * float64(time.Second))
}

// moments are the mean and variance of values, of which older ones fade.
type moments struct {
	weight   float64
	mean     float64
	variance float64
}

func (m *moments) add(v float64) {
	const fade = 1 - 1.0/memory
	m.weight = m.weight*fade + 1
	delta := v - m.mean
	share := 1 / m.weight
	m.mean += share * delta
	m.variance = (1 - share) * (m.variance + share*delta*delta)
}

// withPrior returns the mean and variance together with priorWeight values of the given
// mean and variance.
func (m *moments) withPrior(mean, variance float64) (outMean, outVariance float64) {
	total := m.weight + priorWeight
	share := m.weight / total
	delta := m.mean - mean
	outMean = mean + share*delta
	outVariance = share*m.variance + (1-share)*variance + share*(1-share)*delta*delta
	return outMean, max(outVariance, minVariance)
}
