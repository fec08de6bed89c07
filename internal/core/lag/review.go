package lag

import "time"

// reviewedFleet is the number of workers up to which all workers are reviewed at the normal
// interval. An owner of 3,000 workers that is near the limit of its processor time would
// otherwise spend it on reviews.
const reviewedFleet = 350

// ReviewInterval returns the time between two reviews of all workers. It grows with their
// number, so that reviews take the same share of the processor at any size.
func ReviewInterval(workers int, normal time.Duration) time.Duration {
	return max(normal, normal*time.Duration(workers)/reviewedFleet)
}
