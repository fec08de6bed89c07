package budget

// Shares of the limit. What is left beside large jobs is kept for ordinary ones.
const (
	// largeJobShare is the share of the limit from which on a job is large: with the least
	// machines of the deployments, one of over two thousand tasks.
	largeJobShare = 1.0 / 64
	// largeJobsLimitShare is the share of the limit that may be in use after a large job was
	// accepted.
	largeJobsLimitShare = 0.75
	// openShare is the share of the limit that the open tasks may take. Jobs that were accepted
	// within the limit are below it.
	openShare = 1.25
)

// Limit is how many bytes the jobs of a cell may take; 0 means no limit.
type Limit int64

// IsLarge reports whether a job of the given cost has to leave room for ordinary ones.
func (l Limit) IsLarge(cost int64) bool { return float64(cost) > largeJobShare*float64(l) }

// forLarge returns up to how much large jobs may use.
func (l Limit) forLarge() int64 { return int64(largeJobsLimitShare * float64(l)) }

// forNew returns up to how many bytes may be in use after a job of the given cost was accepted.
func (l Limit) forNew(cost int64) int64 {
	if l.IsLarge(cost) {
		return l.forLarge()
	}
	return int64(l)
}

// Excess returns how much of the cost of the tasks of large jobs is over what these may use. Such
// tasks have been accepted by earlier versions, and are not opened.
func (l Limit) Excess(largeTasks int64) int64 {
	if l == 0 {
		return 0
	}
	return max(largeTasks-l.forLarge(), 0)
}

// MayOpen reports whether tasks and gangs of a job of the given cost may be added to those that
// are open. With none open, any number may.
func (l Limit) MayOpen(open, add int, cost int64) bool {
	if l == 0 || open == 0 {
		return true
	}
	limit := openShare * float64(l)
	if l.IsLarge(cost) {
		limit = float64(l)
	}
	return float64(open+add)*UnitBytes <= limit
}
