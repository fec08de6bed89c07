package shed

import (
	"time"

	"coltsfootmux/internal/job"
)

// minRetryAfter is the least time that a caller is asked to wait.
const minRetryAfter = time.Second

// Refuses reports whether a new job is refused, unless an earlier attempt to hand it in was accepted. Its rank
// is the number of priorities that are less urgent.
func (l Level) Refuses(id job.ID, rank int) bool { return l.excess(id, rank) > 0 }

// RetryAfter returns the time after which a refused job may be accepted: that in which the level falls to
// the job's share of it. Jobs that are refused together thus come back one after the other.
func (l Level) RetryAfter(id job.ID, rank int) time.Duration {
	return max(minRetryAfter, time.Duration(l.excess(id, rank))*time.Second/fallPerSecond)
}

// excess returns by how much the level is above the one up to which the job is accepted.
func (l Level) excess(id job.ID, rank int) Level { return l - whole*Level(rank) - Level(shareOf(id)) }
