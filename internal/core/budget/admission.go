package budget

import (
	"slices"
	"time"

	"coltsfootmux/internal/job"
)

const (
	// minShare is the least share of the limit that an instance may use for jobs that the owner
	// has not read.
	minShare = 1.0 / 32
	// maxUnreadTime is how long a job counts as unread if the owner does not find it. It has
	// been read and forgotten since then, or was never stored.
	maxUnreadTime = 10 * time.Second
	// maxReportAge is how old a report may be for the free memory that it shows to be shared.
	maxReportAge = 2 * time.Second
)

// Report is what an owner says about its cell.
type Report struct {
	// Used is the cost of the jobs that the owner knows.
	Used int64
	// Read holds those of the jobs asked about that the owner knows.
	Read []job.ID
}

// Admission decides which jobs an instance may accept. The zero value has no limit. It is not
// safe for concurrent use.
type Admission struct {
	limit     Limit
	instances int
	used      int64
	// asked is set once the owner has been asked, asOf is when it last was.
	asked bool
	asOf  time.Duration
	// unread holds the admitted jobs that may be in the store and that no report has covered.
	unread []admitted
}

// admitted is a job that this instance admitted at a time.
type admitted struct {
	id   job.ID
	cost int64
	at   time.Duration
	// stored is set once the job may be in the store.
	stored bool
}

// SetLimit sets the limit of the cell and the number of instances that accept jobs, this one
// included.
func (a *Admission) SetLimit(l Limit, instances int) { a.limit, a.instances = l, instances }

// Admit reports whether a job may be accepted. If so, one of Stored and Dropped must follow. A
// job that is not admitted may still be granted by the owner.
//
// Each instance may use its share of what was free at the last report, a small one if that is
// old. So all of them together stay near the limit, however many accept jobs at the same time.
func (a *Admission) Admit(now time.Duration, id job.ID, cost int64) bool {
	if a.limit == 0 {
		return true
	}
	if !a.fits(now, cost) {
		return false
	}
	a.Granted(now, id, cost)
	return true
}

// Granted admits a job for which the owner has reserved memory.
func (a *Admission) Granted(now time.Duration, id job.ID, cost int64) {
	a.unread = append(a.unread, admitted{id: id, cost: cost, at: now})
}

// Limit returns the limit of the cell.
func (a *Admission) Limit() Limit { return a.limit }

func (a *Admission) fits(now time.Duration, cost int64) bool {
	free, inFlight := a.limit.forNew(cost)-a.used, a.inFlight()
	if inFlight+cost > free {
		return false
	}
	share := int64(minShare * float64(a.limit))
	if a.asked && now-a.asOf <= maxReportAge {
		share = max(share, free/int64(max(a.instances, 1)))
	}
	return inFlight+cost <= share
}

// inFlight returns the cost of the jobs that the last report does not contain.
func (a *Admission) inFlight() (sum int64) {
	for _, u := range a.unread {
		sum += u.cost
	}
	return sum
}

// Stored says that an admitted job may be in the store.
func (a *Admission) Stored(id job.ID) {
	if n := a.index(id); n >= 0 {
		a.unread[n].stored = true
	}
}

// Dropped says that an admitted job was not stored.
func (a *Admission) Dropped(id job.ID) {
	if n := a.index(id); n >= 0 {
		a.unread = slices.Delete(a.unread, n, n+1)
	}
}

// index returns where the job is that waits for its result, -1 if none does.
func (a *Admission) index(id job.ID) int {
	return slices.IndexFunc(a.unread, func(u admitted) bool { return u.id == id && !u.stored })
}

// Unread returns up to limit jobs about which the owner is to be asked, oldest first.
func (a *Admission) Unread(limit int) []job.ID {
	var out []job.ID
	for _, u := range a.unread {
		if u.stored && len(out) < limit {
			out = append(out, u.id)
		}
	}
	return out
}

// Reported takes in what the owner said in answer to a question sent at the given time.
func (a *Admission) Reported(asked time.Duration, r Report) {
	a.used, a.asked, a.asOf = r.Used, true, max(a.asOf, asked)
	a.forget(func(u admitted) bool { return asked-u.at > maxUnreadTime || slices.Contains(r.Read, u.id) })
}

// NotReported says that a question sent at the given time was not answered. An owner of a
// version without reports never answers, so that what is known goes on to count.
func (a *Admission) NotReported(asked time.Duration) {
	a.asked, a.asOf = true, max(a.asOf, asked)
	a.forget(func(u admitted) bool { return asked-u.at > maxUnreadTime })
}

// forget drops the jobs that are settled from those that count as unread.
func (a *Admission) forget(settled func(admitted) bool) {
	a.unread = slices.DeleteFunc(a.unread, func(u admitted) bool { return u.stored && settled(u) })
}
