package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// maxNeighbours bounds the neighbours of one victim whose effects are estimated at once.
	maxNeighbours = 16
	// minFreedom is the least number of degrees of freedom: with fewer, a few lucky runs
	// make the standard error far too small.
	minFreedom = 40
	// minVariance is the least variance of values: durations are known to a few percent.
	minVariance = 0.01
	// minWorkers is the least number of workers with evidence: what is seen on one or two
	// may be a fault of these.
	minWorkers = 3
	// ridge keeps the equations solvable if two neighbours always come together. Their
	// effects then have errors so large that neither is named.
	ridge = 1e-3
	// centerings is how often the means of waves and workers are subtracted in turn. Runs
	// are spread over both, so that the remainder shrinks several times with each turn.
	centerings = 12
)

// estimate returns the effect of each neighbour on a victim for which there is enough
// evidence.
func estimate(victim string, samples []Sample) []Pair {
	pairs := candidates(victim, samples)
	if len(pairs) == 0 {
		return nil
	}
	t := newTable(pairs, samples)
	freedom := len(samples) - t.waves.count - t.workers.count + 1 - len(pairs)
	if freedom < minFreedom {
		return nil
	}
	for range centerings {
		t.center(t.waves)
		t.center(t.workers)
	}
	inverse, effects := t.leastSquares()
	residuals := t.residuals(effects)
	variance := max(dot(residuals, residuals)/float64(freedom), minVariance)
	for i := range pairs {
		pairs[i].Slowdown = math.Exp(effects[i])
		byRun, byWorker := variance*inverse[i][i], t.varianceByWorker(residuals, inverse[i])
		pairs[i].contrast = 1 / inverse[i][i]
		pairs[i].Error = math.Sqrt(max(byRun, byWorker))
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

// table holds the equations of the regression, by column: the values and, for each
// neighbour, the exposures.
type table struct {
	values    []float64
	exposures [][]float64
	waves     grouping
	workers   grouping
}

// grouping assigns each row to one of count groups.
type grouping struct {
	of    []int
	count int
}

func groupBy[K comparable](samples []Sample, key func(*Sample) K) grouping {
	g := grouping{of: make([]int, len(samples))}
	known := make(map[K]int)
	for i := range samples {
		k := key(&samples[i])
		if _, ok := known[k]; !ok {
			known[k] = g.count
			g.count++
		}
		g.of[i] = known[k]
	}
	return g
}

func newTable(pairs []Pair, samples []Sample) *table {
	t := &table{
		waves:   groupBy(samples, func(s *Sample) wave { return s.wave }),
		workers: groupBy(samples, func(s *Sample) string { return s.Worker }),
	}
	for _, s := range samples {
		t.values = append(t.values, s.Value)
	}
	for _, p := range pairs {
		column := make([]float64, len(samples))
		for i, s := range samples {
			column[i] = s.Present[p.Neighbour]
		}
		t.exposures = append(t.exposures, column)
	}
	return t
}

// center subtracts from all columns the means of the groups.
func (t *table) center(g grouping) {
	g.center(t.values)
	for _, column := range t.exposures {
		g.center(column)
	}
}

func (g grouping) center(column []float64) {
	sums, sizes := make([]float64, g.count), make([]float64, g.count)
	for i, v := range column {
		sums[g.of[i]] += v
		sizes[g.of[i]]++
	}
	for i := range column {
		column[i] -= sums[g.of[i]] / sizes[g.of[i]]
	}
}

// leastSquares returns the inverse of the normal equations' matrix, and the effects.
func (t *table) leastSquares() (inverse [][]float64, effects []float64) {
	n := len(t.exposures)
	matrix, right := make([][]float64, n), make([]float64, n)
	for i, column := range t.exposures {
		matrix[i] = make([]float64, n)
		for j, other := range t.exposures {
			matrix[i][j] = dot(column, other)
		}
		matrix[i][i] += ridge
		right[i] = dot(column, t.values)
	}
	inverse, effects = invert(matrix), make([]float64, n)
	for i := range n {
		effects[i] = dot(inverse[i], right)
	}
	return inverse, effects
}

func (t *table) residuals(effects []float64) []float64 {
	out := slices.Clone(t.values)
	for j, column := range t.exposures {
		for i, x := range column {
			out[i] -= effects[j] * x
		}
	}
	return out
}

// varianceByWorker returns the variance of an effect if the runs on each worker count as
// one observation. inverse is the effect's row of the inverse matrix.
func (t *table) varianceByWorker(residuals, inverse []float64) float64 {
	if t.workers.count < minWorkers {
		return math.Inf(1)
	}
	scores := make([]float64, t.workers.count)
	for j, column := range t.exposures {
		for i, x := range column {
			scores[t.workers.of[i]] += inverse[j] * x * residuals[i]
		}
	}
	n := float64(t.workers.count)
	return dot(scores, scores) * n / (n - 1)
}
