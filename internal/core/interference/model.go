package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// memoryRuns is how many of a victim's last runs with each neighbour count,
	// memoryByWorker how many of its last runs on each worker; memoryTime is how long a run
	// counts.
	memoryRuns     = 200
	memoryByWorker = 16
	memoryTime     = 120 * time.Second
	// minRuns is how many runs with and without the neighbour are needed to name a pair,
	// minRunsKept to keep it.
	minRuns     = 12.0
	minRunsKept = 6.0
	// errorsToName and errorsToKeep are multiples of the standard error.
	errorsToName = 4.0
	errorsToKeep = 2.0
	// keptShare is the share of the threshold's logarithm below which a pair is forgotten.
	keptShare = 2.0 / 3
	// presentShare is the share of time from which a run counts as one with a neighbour in
	// the memory.
	presentShare = 0.25
	// maxProfiles bounds the victims that are remembered, maxSamples the samples of each.
	maxProfiles = 64
	maxSamples  = 1000
)

// Pair says how much a neighbour slows a victim.
type Pair struct {
	Victim    string
	Neighbour string
	// Slowdown is the factor by which the victim takes longer, Error the standard error of
	// its logarithm.
	Slowdown float64
	Error    float64
	// With and Without count the runs by the share of their time with the neighbour.
	With    float64
	Without float64
	// contrast is the sum of the squares of what is left of the exposures once workers,
	// waves and other neighbours are taken out: n runs with and n without give n/2.
	contrast float64
}

// Change reports that a pair was named, or forgotten.
type Change struct {
	Pair
	Named bool
}

// pairKey identifies an ordered pair of profiles.
type pairKey struct{ victim, neighbour string }

// Model holds the evidence and the named pairs.
type Model struct {
	threshold float64
	samples   map[string][]Sample
	// judged is the victim that was judged last.
	judged string
	named  map[pairKey]Pair
	// conflicts holds, by profile, the profiles that it should not run beside.
	conflicts map[string][]string
}

// New returns a model that names pairs with at least the given slowdown.
func New(slowdown float64) *Model {
	return &Model{threshold: math.Log(slowdown), samples: make(map[string][]Sample), named: make(map[pairKey]Pair)}
}

// Observe records a sample of a victim.
func (m *Model) Observe(victim string, s Sample) {
	if _, known := m.samples[victim]; known || len(m.samples) < maxProfiles {
		m.samples[victim] = append(m.samples[victim], s)
	}
}

// Clone returns a copy that shares only the exposures of samples, which are never modified;
// nil for nil.
func (m *Model) Clone() *Model {
	if m == nil {
		return nil
	}
	out := *m
	out.samples, out.conflicts = cloneLists(m.samples), cloneLists(m.conflicts)
	out.named = maps.Clone(m.named)
	return &out
}

func cloneLists[T any](m map[string][]T) map[string][]T {
	out := make(map[string][]T, len(m))
	for key, list := range m {
		out[key] = slices.Clone(list)
	}
	return out
}

// Judge reviews the evidence about one victim, each in turn, and returns the pairs that are
// named or forgotten by it. One at a time keeps each review short.
func (m *Model) Judge(now time.Duration) []Change {
	victim, ok := m.nextVictim()
	if !ok {
		return nil
	}
	m.judged = victim
	m.samples[victim] = recent(m.samples[victim], now)
	if len(m.samples[victim]) == 0 {
		delete(m.samples, victim)
	}
	changes := m.update(m.withNamed(victim, estimate(victim, m.samples[victim])))
	if len(changes) > 0 {
		m.updateConflicts()
	}
	return changes
}

// withNamed adds to the estimated pairs of a victim those that are named and for which
// there is not enough evidence any more.
func (m *Model) withNamed(victim string, pairs []Pair) []Pair {
	for _, p := range m.Pairs() {
		if p.Victim == victim && !slices.ContainsFunc(pairs, func(o Pair) bool { return o.Neighbour == p.Neighbour }) {
			pairs = append(pairs, Pair{Victim: victim, Neighbour: p.Neighbour, Slowdown: 1})
		}
	}
	return pairs
}

// update names or forgets pairs by their present estimates.
func (m *Model) update(pairs []Pair) []Change {
	var changes []Change
	for _, p := range pairs {
		key := pairKey{p.Victim, p.Neighbour}
		_, was := m.named[key]
		is := m.interferes(p, was)
		if is {
			m.named[key] = p
		} else {
			delete(m.named, key)
		}
		if is != was {
			changes = append(changes, Change{Pair: p, Named: is})
		}
	}
	return changes
}

// nextVictim returns the victim that follows the one judged last, in the order of the names.
func (m *Model) nextVictim() (victim string, ok bool) {
	victims := slices.Sorted(maps.Keys(m.samples))
	if len(victims) == 0 {
		return "", false
	}
	n, found := slices.BinarySearch(victims, m.judged)
	if found {
		n++
	}
	return victims[n%len(victims)], true
}

// interferes reports whether the evidence names a pair, or keeps one that was named.
func (m *Model) interferes(p Pair, was bool) bool {
	effect, threshold, errors, runs := math.Log(p.Slowdown), m.threshold, errorsToName, minRuns
	if was {
		threshold, errors, runs = keptShare*m.threshold, errorsToKeep, minRunsKept
	}
	return effect >= threshold && effect >= errors*p.Error && p.With >= runs && p.Without >= runs && p.contrast >= runs/2
}

// Pairs returns the named pairs, sorted.
func (m *Model) Pairs() []Pair {
	out := make([]Pair, 0, len(m.named))
	for _, p := range m.named {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(a.Victim, b.Victim), cmp.Compare(a.Neighbour, b.Neighbour))
	})
	return out
}

// Conflicts returns the profiles that slow the given one or are slowed by it.
func (m *Model) Conflicts(profile string) []string { return m.conflicts[profile] }

func (m *Model) updateConflicts() {
	m.conflicts = make(map[string][]string)
	add := func(a, b string) {
		if !slices.Contains(m.conflicts[a], b) {
			m.conflicts[a] = append(m.conflicts[a], b)
		}
	}
	for _, p := range m.Pairs() {
		add(p.Victim, p.Neighbour)
		add(p.Neighbour, p.Victim)
	}
}

// recent returns the samples that still count, in the same order.
func recent(samples []Sample, now time.Duration) []Sample {
	waves := wavesWithNeighbours(samples)
	onWorker := make(map[string]int)
	var kept []Sample
	for _, s := range slices.Backward(samples) {
		onWorker[s.Worker]++
		keep := waves[s.wave] || onWorker[s.Worker] <= memoryByWorker
		if keep && now-s.At <= memoryTime && len(kept) < maxSamples {
			kept = append(kept, s)
		}
	}
	slices.Reverse(kept)
	return kept
}

// wavesWithNeighbours returns the waves that have one of the last runs with some neighbour.
// They are kept whole, as a run tells nothing without those with which it is compared.
func wavesWithNeighbours(samples []Sample) map[wave]bool {
	seen, out := make(map[string]int), make(map[wave]bool)
	for _, s := range slices.Backward(samples) {
		for p, share := range s.Present {
			if share < presentShare {
				continue
			}
			seen[p]++
			if seen[p] <= memoryRuns {
				out[s.wave] = true
			}
		}
	}
	return out
}
