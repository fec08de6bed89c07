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

// Rank returns the candidates in the order in which an owner asks them: strong ones
// first, and data centres in turn, its own last, so that no data centre holds more witnesses than
// it must.
func Rank(ownDataCentre string, candidates []Candidate) []Candidate {
	out := slices.Clone(candidates)
	turn := make(map[string]int)
	slices.SortFunc(out, func(a, b Candidate) int {
		return cmp.Or(compareBool(b.Strong, a.Strong), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Addr, b.Addr))
	})
	turns := make(map[string]int, len(out))
	for _, c := range out {
		turns[c.Addr] = turn[c.DataCentre]
		turn[c.DataCentre]++
	}
	slices.SortStableFunc(out, func(a, b Candidate) int {
		return cmp.Or(
			compareBool(b.Strong, a.Strong), cmp.Compare(turns[a.Addr], turns[b.Addr]),
			compareBool(a.DataCentre == ownDataCentre, b.DataCentre == ownDataCentre),
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
