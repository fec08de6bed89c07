package queue

import "cmp"

// Rank is what the place of a group of tasks in the order depends on.
type Rank struct {
	// Entitled work is of priority 0 and within its account's guarantee.
	Entitled bool
	// Priority is that of the queue; 0 is the most urgent.
	Priority int
	// Stale work has passed the time at which its completion is of use.
	Stale bool
	// DeadlineMS is the objective's end, in Unix milliseconds.
	DeadlineMS int64
	// Arrival numbers jobs in the order in which they came.
	Arrival int
}

// Compare is negative if the rank comes before another.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(
		before(r.Entitled, o.Entitled),
		cmp.Compare(r.Priority, o.Priority),
		before(!r.Stale, !o.Stale),
		cmp.Compare(r.DeadlineMS, o.DeadlineMS),
		cmp.Compare(r.Arrival, o.Arrival),
	)
}

// before orders true before false.
func before(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
