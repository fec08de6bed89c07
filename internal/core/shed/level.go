package shed

import (
	"encoding/binary"
	"hash/fnv"

	"coltsfootmux/internal/job"
)

// Level says how much of the new jobs is refused, in parts per hundred of a priority: 100 are all of the
// least urgent priority, 150 those and half of the next one.
type Level int

// whole is the level at which all jobs of one priority are refused.
const whole Level = 100

// refuses reports whether a job is refused. Its rank is the number of priorities that are less urgent. Each
// instance gives the same answer for a job, and so does a later attempt while the level does not change.
func (l Level) refuses(id job.ID, rank int) bool {
	part := l - whole*Level(rank)
	return part > 0 && Level(shareOf(id)) < part
}

// shareOf returns the number of a job from 0 to 99, the same for all its attempts.
func shareOf(id job.ID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return binary.BigEndian.Uint64(h.Sum(nil)) % uint64(whole)
}
