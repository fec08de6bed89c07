package witness

import (
	"cmp"
	"slices"
)

// Candidate is an instance that may become a witness.
type Candidate struct {
	Addr string
	// DataCentre is empty if it is not known.
	DataCentre string
	// Strong says that the instance claims a term without a delay.
	Strong bool
}

// Rank returns the candidates in the order in which an owner asks them: data centres in turn, its
// own last, so that none holds more witnesses than it must. Of a data centre strong machines come
// first.
func Rank(ownDataCentre string, candidates []Candidate) []Candidate {
	out := slices.Clone(candidates)
	slices.SortFunc(out, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), compareBool(b.Strong, a.Strong), cmp.Compare(a.Addr, b.Addr))
	})
	turn, taken := make(map[string]int, len(out)), make(map[string]int)
	for _, c := range out {
		turn[c.Addr] = taken[c.DataCentre]
		taken[c.DataCentre]++
	}
	slices.SortStableFunc(out, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(turn[a.Addr], turn[b.Addr]),
			compareBool(a.DataCentre == ownDataCentre, b.DataCentre == ownDataCentre),
			compareBool(b.Strong, a.Strong),
		)
	})
	return out
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
