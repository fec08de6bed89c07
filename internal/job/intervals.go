package job

import (
	"cmp"
	"iter"
	"slices"
)

// Interval is a range of numbers, both ends included.
type Interval struct {
	_           struct{} `cbor:",toarray"`
	First, Last int
}

// Intervals is a set of numbers, as ascending intervals with at least one number between them.
// The zero value is empty.
type Intervals []Interval

// Add adds a number to the set.
func (s *Intervals) Add(n int) {
	at := s.search(n)
	if at < len(*s) && (*s)[at].First <= n {
		return
	}
	joinsLast := at > 0 && (*s)[at-1].Last == n-1
	joinsNext := at < len(*s) && (*s)[at].First == n+1
	switch {
	case joinsLast && joinsNext:
		(*s)[at-1].Last = (*s)[at].Last
		*s = slices.Delete(*s, at, at+1)
	case joinsLast:
		(*s)[at-1].Last = n
	case joinsNext:
		(*s)[at].First = n
	default:
		*s = slices.Insert(*s, at, Interval{First: n, Last: n})
	}
}

// Has reports whether a number is in the set.
func (s Intervals) Has(n int) bool {
	at := s.search(n)
	return at < len(s) && s[at].First <= n
}

// search returns the index of the first interval that does not end before n.
func (s Intervals) search(n int) int {
	at, _ := slices.BinarySearchFunc(s, n, func(i Interval, n int) int { return cmp.Compare(i.Last, n) })
	return at
}

// Count returns how many numbers are in the set.
func (s Intervals) Count() int {
	n := 0
	for _, i := range s {
		n += i.Last - i.First + 1
	}
	return n
}

// All returns the numbers of the set in ascending order.
func (s Intervals) All() iter.Seq[int] {
	return func(yield func(int) bool) {
		for _, i := range s {
			for n := i.First; n <= i.Last; n++ {
				if !yield(n) {
					return
				}
			}
		}
	}
}

// within returns the numbers of the set from first to last. It also takes intervals that are out of
// order or overlap, as read from a record.
func (s Intervals) within(first, last int) Intervals {
	sorted := slices.Clone(s)
	slices.SortFunc(sorted, func(a, b Interval) int { return cmp.Compare(a.First, b.First) })
	var out Intervals
	for _, i := range sorted {
		i.First, i.Last = max(i.First, first), min(i.Last, last)
		switch n := len(out) - 1; {
		case i.First > i.Last:
		case n >= 0 && i.First <= out[n].Last+1:
			out[n].Last = max(out[n].Last, i.Last)
		default:
			out = append(out, i)
		}
	}
	return out
}
