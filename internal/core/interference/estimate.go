package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// minOthers is how many other runs at its place a run is compared with at least.
	minOthers = 2
	// minPlaces is the least number of places with evidence: what is seen on one or two
	// workers may be a fault of these.
	minPlaces = 3
	// maxNeighbours bounds the neighbours of one victim whose effects are estimated at once.
	maxNeighbours = 16
	// minVariance is the least variance of values: durations are known to a few percent.
	minVariance = 0.01
	// ridge keeps the equations solvable if two neighbours always come together. Their
	// effects then have errors so large that neither is named.
	ridge = 1e-3
)

// level is the sum of the values of all runs at one place, and their number.
type level struct {
	sum   float64
	count int
}

func (m *Model) placeLevels(victims []string) map[string]level {
	out := make(map[string]level)
	for _, v := range victims {
		for _, s := range m.samples[v] {
			l := out[s.Place]
			out[s.Place] = level{sum: l.sum + s.Value, count: l.count + 1}
		}
	}
	return out
}

// row is one equation of the regression: a value and its exposures, both relative to the
// other runs at the same place. The first exposure is 1, for the intercept.
type row struct {
	place     string
	value     float64
	exposures []float64
}

// estimate returns the effect of each neighbour on a victim for which there is enough
// evidence.
func estimate(victim string, samples []Sample, levels map[string]level) []Pair {
	pairs := candidates(victim, samples)
	if len(pairs) == 0 {
		return nil
	}
	rows := equations(pairs, samples, levels)
	inverse, effects := leastSquares(rows, len(pairs)+1)
	variance := residualVariance(rows, effects)
	for i := range pairs {
		pairs[i].Slowdown = math.Exp(effects[i+1])
		byRun := variance * inverse[i+1][i+1]
		pairs[i].Error = math.Sqrt(max(byRun, varianceByPlace(rows, effects, inverse[i+1])))
	}
	return pairs
}

// candidates returns the neighbours with enough runs on each side, those with most
// first, up to maxNeighbours.
func candidates(victim string, samples []Sample) []Pair {
	with := make(map[string]float64)
	for _, s := range samples {
		for p, share := range s.Present {
			with[p] += share
		}
	}
	var out []Pair
	for _, p := range slices.Sorted(maps.Keys(with)) {
		without := float64(len(samples)) - with[p]
		if with[p] >= minRunsKept && without >= minRunsKept {
			out = append(out, Pair{Victim: victim, Neighbour: p, With: with[p], Without: without})
		}
	}
	slices.SortStableFunc(out, func(a, b Pair) int {
		return cmp.Compare(min(b.With, b.Without), min(a.With, a.Without))
	})
	return out[:min(len(out), maxNeighbours)]
}

// equations returns an equation for each sample whose place has enough other runs.
func equations(pairs []Pair, samples []Sample, levels map[string]level) []row {
	sums := make(map[string][]float64)
	for _, s := range samples {
		if sums[s.Place] == nil {
			sums[s.Place] = make([]float64, len(pairs))
		}
		for i, p := range pairs {
			sums[s.Place][i] += s.Contrast[p.Neighbour]
		}
	}
	var rows []row
	for _, s := range samples {
		l := levels[s.Place]
		others := float64(l.count - 1)
		if others < minOthers {
			continue
		}
		r := row{place: s.Place, value: s.Value - (l.sum-s.Value)/others, exposures: make([]float64, len(pairs)+1)}
		r.exposures[0] = 1
		for i, p := range pairs {
			own := s.Contrast[p.Neighbour]
			r.exposures[i+1] = own - (sums[s.Place][i]-own)/others
		}
		rows = append(rows, r)
	}
	return rows
}

// leastSquares returns the inverse of the normal equations' matrix, and the effects.
func leastSquares(rows []row, n int) (inverse [][]float64, effects []float64) {
	matrix, right := make([][]float64, n), make([]float64, n)
	for i := range n {
		matrix[i] = make([]float64, n)
		matrix[i][i] = ridge
	}
	for _, r := range rows {
		for i, x := range r.exposures {
			right[i] += x * r.value
			for j, y := range r.exposures {
				matrix[i][j] += x * y
			}
		}
	}
	inverse, effects = invert(matrix), make([]float64, n)
	for i := range n {
		effects[i] = dot(inverse[i], right)
	}
	return inverse, effects
}

// invert returns the inverse of a symmetric positive definite matrix, by elimination.
func invert(m [][]float64) [][]float64 {
	n := len(m)
	out := make([][]float64, n)
	for i := range n {
		out[i] = make([]float64, n)
		out[i][i] = 1
	}
	for c := range n {
		pivot := m[c][c]
		for j := range n {
			m[c][j] /= pivot
			out[c][j] /= pivot
		}
		for i := range n {
			if i == c {
				continue
			}
			factor := m[i][c]
			for j := range n {
				m[i][j] -= factor * m[c][j]
				out[i][j] -= factor * out[c][j]
			}
		}
	}
	return out
}

func dot(a, b []float64) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}

func residualVariance(rows []row, effects []float64) float64 {
	sum := 0.0
	for _, r := range rows {
		e := r.value - dot(r.exposures, effects)
		sum += e * e
	}
	return max(sum/float64(max(len(rows)-len(effects), 1)), minVariance)
}

// varianceByPlace returns the variance of an effect if the runs at each place count as
// one observation. It is infinite with fewer than minPlaces. inverse is the effect's row
// of the inverse matrix.
func varianceByPlace(rows []row, effects, inverse []float64) float64 {
	byPlace := make(map[string]float64)
	for _, r := range rows {
		byPlace[r.place] += dot(inverse, r.exposures) * (r.value - dot(r.exposures, effects))
	}
	sum, n := 0.0, float64(len(byPlace))
	for _, w := range slices.Sorted(maps.Keys(byPlace)) {
		sum += byPlace[w] * byPlace[w]
	}
	if n < minPlaces {
		return math.Inf(1)
	}
	return sum * n / (n - 1)
}
