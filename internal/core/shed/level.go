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

// shareOf returns the number of a job from 0 to 99, the same at all instances and for all its attempts.
func shareOf(id job.ID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return binary.BigEndian.Uint64(h.Sum(nil)) % uint64(whole)
}
