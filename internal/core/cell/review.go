package cell

import "time"

// reviewedFleet is the number of workers up to which all workers are reviewed at the normal
// interval. An owner of 3,000 workers that is near the limit of its processor time would
// otherwise spend it on reviews.
const reviewedFleet = 350

// reviewInterval returns the time between two reviews of all workers. It grows with the
// fleet, so that reviews take the same share of the processor at any size.
func (c *Core) reviewInterval(normal time.Duration) time.Duration {
	if len(c.fleet) <= reviewedFleet {
		return normal
	}
	return normal * time.Duration(len(c.fleet)) / reviewedFleet
}
