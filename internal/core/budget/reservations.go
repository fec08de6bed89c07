package budget

import (
	"slices"
	"time"

	"coltsfootmux/internal/job"
)

// Reservations is the memory that an owner has granted for single jobs that are larger than an
// instance's share, until it has read them. The zero value is empty. It is not safe for
// concurrent use.
type Reservations struct {
	held []admitted
}

// Reserve grants memory for a job, beside used bytes, if it fits. A reservation ends after
// maxUnreadTime.
func (r *Reservations) Reserve(now time.Duration, limit Limit, used int64, id job.ID, cost int64) bool {
	if slices.ContainsFunc(r.held, func(h admitted) bool { return h.id == id }) {
		return true
	}
	if limit != 0 && used+r.Held(nil)+cost > limit.forNew(cost) {
		return false
	}
	r.held = append(r.held, admitted{id: id, cost: cost, at: now})
	return true
}

// Expire drops the reservations of jobs that have been read, and those that are too old.
func (r *Reservations) Expire(now time.Duration, isRead func(job.ID) bool) {
	r.held = slices.DeleteFunc(r.held, func(h admitted) bool { return now-h.at > maxUnreadTime || isRead(h.id) })
}

// Held returns what is reserved for other jobs than the given ones.
func (r *Reservations) Held(except []job.ID) (sum int64) {
	for _, h := range r.held {
		if !slices.Contains(except, h.id) {
			sum += h.cost
		}
	}
	return sum
}
