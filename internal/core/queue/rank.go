package queue

import "cmp"

// Rank determines the place of a group of tasks in the order.
type Rank struct {
	// Entitled says that the work has priority 0 and is within its account's guarantee.
	Entitled bool
	// Priority is the priority of the queue; 0 is the most urgent.
	Priority int
	// Overuse is 0 for accounts within their share of the workers, and otherwise how much
	// the account uses relative to its share.
	Overuse float64
	// Stale says that the time is past after which the work's completion is of no use.
	Stale bool
	// DeadlineMS is the end of the objective in Unix milliseconds.
	DeadlineMS int64
	// Arrival numbers the jobs in the order of their arrival.
	Arrival int
}

// Compare returns a negative number if r comes before o, and a positive one if after.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(
		trueFirst(r.Entitled, o.Entitled),
		cmp.Compare(r.Priority, o.Priority),
		cmp.Compare(r.Overuse, o.Overuse),
		trueFirst(!r.Stale, !o.Stale),
		cmp.Compare(r.DeadlineMS, o.DeadlineMS),
		cmp.Compare(r.Arrival, o.Arrival),
	)
}

// trueFirst compares a and b so that true comes before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
