package speed

import (
	"math"
	"slices"
)

// Class is a worker's class of speed relative to its pool.
type Class int

// Classes, the fastest first.
const (
	Fast Class = iota
	Usual
	Slow
	// Classes is the number of classes.
	Classes
)

const (
	// fastBelow and slowAbove are the factors relative to the pool's median that bound the
	// usual class.
	fastBelow = 0.75
	slowAbove = 1.33
	// classMargin is by how much, in the logarithm, a worker has to cross a bound to leave
	// its class.
	classMargin = 0.05
	// closeShare is the share of the ratio to open at which a pool's gate closes.
	closeShare = 0.9
	// minKnownShare is the share of a pool's workers that must be known.
	minKnownShare = 1.0 / 3
	// minKnown is the least number of known workers: percentiles of fewer mean nothing.
	minKnown = 4
	// lowQuantile and highQuantile are the percentiles whose ratio is compared.
	lowQuantile  = 0.1
	highQuantile = 0.9
	// openMargin is by how many of its standard errors the ratio must exceed the threshold for
	// the gate to open. Without it, the gate opened for factors of 0.8, 1 and 1.25 in 18 of 4,000
	// pools of 120 workers with 1 to 20 runs each; with it in 2.
	openMargin = 1.0
	// spreadError is the standard error of the distance between the two percentiles, for one
	// worker and a standard deviation of 1.
	spreadError = 2.4
)

// Pool is what is known of the differences between a pool's workers. The zero value knows
// nothing; its gate is closed.
type Pool struct {
	// Open says that the workers differ enough for their factors to be used.
	Open bool
	// Ratio is the ratio of the 90th to the 10th percentile of the known factors.
	Ratio float64
	// Known is the number of workers whose factors are known.
	Known int
	// median is the median of the logarithms of the known factors.
	median float64
}

// Update recomputes the pool from the estimates of all its workers. The gate opens at the
// ratio threshold. It reports whether the gate has opened or closed.
func (p *Pool) Update(workers []Estimate, threshold float64) (changed bool) {
	known := make([]Estimate, 0, len(workers))
	logs := make([]float64, 0, len(workers))
	for _, e := range workers {
		if e.Known() {
			known = append(known, e)
			logs = append(logs, e.Log)
		}
	}
	slices.Sort(logs)
	noise := 0.0
	p.Known, p.Ratio, p.median = len(known), 1, 0
	if len(known) > 0 {
		p.median = quantile(logs, 0.5)
		p.Ratio, noise = spreadOf(known)
	}
	least := threshold * math.Exp(openMargin*spreadError*math.Sqrt(noise/float64(max(len(known), 1))))
	if p.Open {
		least = threshold * closeShare
	}
	open := p.Ratio >= least && p.Known >= minKnown && float64(p.Known) >= minKnownShare*float64(len(workers))
	changed = open != p.Open
	p.Open = open
	return changed
}

// spreadOf returns the ratio of the high to the low percentile of the factors, without the
// part of their spread that is due to the error of the estimates, and the variance
// of these errors. Equal workers would seem to differ by a factor of two while each is known by
// a single run.
func spreadOf(known []Estimate) (ratio, noise float64) {
	raw := make([]float64, 0, len(known))
	mean := 0.0
	for _, e := range known {
		raw = append(raw, e.rawLog)
		mean += e.rawLog / float64(len(known))
		noise += e.rawVariance / float64(len(known))
	}
	variance := 0.0
	for _, v := range raw {
		variance += (v - mean) * (v - mean) / float64(len(known))
	}
	if variance <= noise {
		return 1, noise
	}
	slices.Sort(raw)
	spread := quantile(raw, highQuantile) - quantile(raw, lowQuantile)
	return math.Exp(spread * math.Sqrt((variance-noise)/variance)), noise
}

// quantile returns a quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	at := q * float64(len(sorted)-1)
	low := int(at)
	high := min(low+1, len(sorted)-1)
	return sorted[low] + (at-float64(low))*(sorted[high]-sorted[low])
}

// Relative returns a worker's factor relative to the pool's median: 1 if it is not known or
// the gate is closed.
func (p *Pool) Relative(e Estimate) float64 {
	if !p.Open || !e.Known() {
		return 1
	}
	return p.FromMedian(e)
}

// FromMedian returns a worker's factor relative to the pool's median, whether or not the
// gate is open.
func (p *Pool) FromMedian(e Estimate) float64 { return math.Exp(e.Log - p.median) }

// ClassOf returns the class of a worker that had the class current.
func (p *Pool) ClassOf(e Estimate, current Class) Class {
	relative := p.Relative(e)
	if relative == 1 {
		return Usual
	}
	log, low, high := math.Log(relative), math.Log(fastBelow), math.Log(slowAbove)
	switch current {
	case Fast:
		low += classMargin
	case Slow:
		high -= classMargin
	default:
		low, high = low-classMargin/2, high+classMargin/2
	}
	switch {
	case log < low:
		return Fast
	case log > high:
		return Slow
	default:
		return Usual
	}
}
