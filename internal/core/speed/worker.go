package speed

import (
	"math"
	"time"
)

const (
	// priorPrecision is the precision of the assumption that a worker is a usual one: a
	// standard deviation of 0.5 in the logarithm.
	priorPrecision = 4.0
	// memory is the time in which the weight of evidence falls to 1/e.
	memory = 60 * time.Second
	// maxKnownError is the standard error up to which a factor counts as known. One run at
	// a fifth of its progress is enough.
	maxKnownError = 0.3
	// surprise is the number of standard deviations from which evidence contradicts the
	// estimate. Older evidence loses all but keptWeight of its weight with the second
	// contradiction in the same direction; a single one may be an unusual task.
	surprise       = 2.0
	contradictions = 2
	keptWeight     = 0.2
	// storedPrecision is the precision that a factor has which a previous owner stored: that
	// of about two runs.
	storedPrecision = 24.0
	// maxLogFactor bounds a single piece of evidence: a factor of 10.
	maxLogFactor = 2.3
)

// Evidence is what one run shows of its worker's factor.
type Evidence struct {
	// LogFactor is the logarithm of the factor, Variance its variance.
	LogFactor, Variance float64
	// Share is the share of the run's evidence that this is, up to 1. Progress and end of
	// one run are not independent, so their shares sum to at most 1.
	Share float64
}

// Worker is what is known of the time factor of one worker. The zero value has no evidence.
type Worker struct {
	// mean is the mean of the evidence, precision its weight at the time at.
	mean, precision float64
	at              time.Duration
	runs            int
	// contradicting counts the last pieces of evidence that contradicted the estimate: those
	// for a larger factor as positive, for a smaller one as negative.
	contradicting int
}

// Estimate is the estimate of a worker's factor at some time.
type Estimate struct {
	// Log is the logarithm of the factor, shrunk towards 0, and Error its standard error.
	Log, Error float64
	// rawLog and rawVariance are those of the evidence alone.
	rawLog, rawVariance float64
	// Runs is the number of runs that gave evidence.
	Runs int
}

// Known reports whether the factor is known well enough to be used.
func (e Estimate) Known() bool { return e.Error <= maxKnownError }

// Factor returns the time factor.
func (e Estimate) Factor() float64 { return math.Exp(e.Log) }

// Add adds evidence.
func (w *Worker) Add(now time.Duration, e Evidence) {
	if !(e.Variance > 0) || !(e.Share > 0) || math.IsNaN(e.LogFactor) {
		return
	}
	w.fade(now)
	w.checkSurprise(e)
	precision := e.Share / e.Variance
	value := min(max(e.LogFactor, -maxLogFactor), maxLogFactor)
	w.mean += (value - w.mean) * precision / (w.precision + precision)
	w.precision += precision
}

// CountRun counts a run that gave evidence.
func (w *Worker) CountRun() { w.runs++ }

// fade reduces the weight of the evidence by its age.
func (w *Worker) fade(now time.Duration) {
	w.precision *= fading(now - w.at)
	w.at = max(w.at, now)
}

func fading(age time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / memory.Seconds())
}

// checkSurprise lets older evidence fade quickly once new evidence contradicts it.
func (w *Worker) checkSurprise(e Evidence) {
	if w.precision == 0 {
		return
	}
	off := (e.LogFactor - w.mean) / math.Sqrt(e.Variance+1/w.precision)
	switch {
	case off > surprise:
		w.contradicting = max(w.contradicting, 0) + 1
	case off < -surprise:
		w.contradicting = min(w.contradicting, 0) - 1
	default:
		w.contradicting = 0
	}
	if w.contradicting >= contradictions || w.contradicting <= -contradictions {
		w.precision *= keptWeight
	}
}

// Estimate returns the estimate at a time.
func (w *Worker) Estimate(now time.Duration) Estimate {
	precision := w.precision * fading(now-w.at)
	out := Estimate{Error: 1 / math.Sqrt(precision+priorPrecision), Runs: w.runs}
	if precision > 0 {
		out.Log = w.mean * precision / (precision + priorPrecision)
		out.rawLog, out.rawVariance = w.mean, 1/precision
	}
	return out
}

// Forgotten reports whether nearly all evidence has faded.
func (w *Worker) Forgotten(now time.Duration) bool {
	return w.precision*fading(now-w.at) < priorPrecision/4
}

// Percent returns the factor in percent as it is to be stored, 0 if it is not known.
func (w *Worker) Percent(now time.Duration) int {
	e := w.Estimate(now)
	if !e.Known() {
		return 0
	}
	return int(math.Round(100 * e.Factor()))
}

// Stored returns a worker with a stored factor in percent. Values that no owner stores
// count as unknown.
func Stored(percent int, now time.Duration) *Worker {
	log := math.Log(float64(percent) / 100)
	if percent <= 0 || math.Abs(log) > maxLogFactor {
		return &Worker{at: now}
	}
	return &Worker{mean: log * (storedPrecision + priorPrecision) / storedPrecision, precision: storedPrecision, at: now, runs: 1}
}
