package share

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// halfLife is how long it takes until a run that has ended counts half.
	halfLife = 10 * time.Second
	// minTotal is the least total usage that shares are taken of, in seconds of the whole
	// capacity. A full pool has 14 s in the steady state; below 2 s, as in an idle pool or
	// right after a takeover, a single job can be most of all usage.
	minTotal = 2.0
	// forgetBelow is the usage in core-seconds below which a job that has ended, or an
	// account that is in no policy, is forgotten.
	forgetBelow = 1.0
)

// Accounts holds the usage of all accounts and which of them are over their share.
type Accounts struct {
	byName map[string]*account
	// names holds the names in byName, sorted.
	names []string
	// defaultWeight is the weight of an account without a guarantee.
	defaultWeight float64
	totalWeight   float64
	totalUsage    float64
	// capacity is the size of all workers in cores.
	capacity  float64
	updatedAt time.Duration
}

// Clone returns a copy that shares nothing with the original; nil for nil.
func (a *Accounts) Clone() *Accounts {
	if a == nil {
		return nil
	}
	out := *a
	out.names = slices.Clone(a.names)
	out.byName = make(map[string]*account, len(a.byName))
	for name, e := range a.byName {
		copied := *e
		copied.jobs = slices.Clone(e.jobs)
		out.byName[name] = &copied
	}
	return &out
}

// account is the state of one client account.
type account struct {
	// inPolicy says that the policy names the account.
	inPolicy bool
	// weight is the account's guarantee, or that of the smallest one.
	weight float64
	// usage is in core-seconds; rate is in cores since the last update.
	usage float64
	rate  float64
	// jobs is the usage by job, sorted by the jobs' IDs.
	jobs []jobUsage
	over bool
	// blockingAt is when work of another account, within its share, was last found waiting.
	blockingAt time.Duration
}

// jobUsage is the usage of one job, in the units of account.
type jobUsage struct {
	id          string
	usage, rate float64
}

// Use is what the runs of one job use now.
type Use struct {
	Account string
	Job     string
	Cores   float64
}

// New returns accounts without any usage.
func New(now time.Duration) *Accounts {
	return &Accounts{byName: make(map[string]*account), defaultWeight: 1, updatedAt: now}
}

// SetGuarantees sets the guarantees of all accounts of the policy. Accounts that are in
// no policy count as the smallest guarantee.
func (a *Accounts) SetGuarantees(guarantees map[string]int) {
	smallest := 0
	for _, g := range guarantees {
		if g > 0 && (smallest == 0 || g < smallest) {
			smallest = g
		}
	}
	a.defaultWeight = float64(max(smallest, 1))
	for _, e := range a.byName {
		e.inPolicy, e.weight = false, a.defaultWeight
	}
	for name, g := range guarantees {
		e := a.account(name)
		e.inPolicy = true
		if g > 0 {
			e.weight = float64(g)
		}
	}
	a.sum()
}

// Update adds the usage since the last update, in which each job used the cores of that
// update, and sets what is used from now on, at most one Use a job. capacity is the size of
// all workers in cores.
func (a *Accounts) Update(now time.Duration, uses []Use, capacity float64) {
	keep := math.Exp2(-float64(now-a.updatedAt) / float64(halfLife))
	perCore := (1 - keep) * halfLife.Seconds() / math.Ln2
	a.updatedAt, a.capacity = now, capacity
	for name, e := range a.byName {
		e.decay(keep, perCore)
		if !e.inPolicy && e.usage < forgetBelow {
			delete(a.byName, name)
		}
	}
	for _, u := range uses {
		a.account(u.Account).use(u)
	}
	a.sum()
}

// decay adds what was used since the last update and lets all usage decay.
func (e *account) decay(keep, perCore float64) {
	e.usage = e.usage*keep + e.rate*perCore
	e.rate = 0
	for i := range e.jobs {
		j := &e.jobs[i]
		j.usage = j.usage*keep + j.rate*perCore
		j.rate = 0
	}
	e.jobs = slices.DeleteFunc(e.jobs, func(j jobUsage) bool { return j.usage < forgetBelow })
}

// use sets what a job uses from now on.
func (e *account) use(u Use) {
	e.rate += u.Cores
	at, found := slices.BinarySearchFunc(e.jobs, u.Job, func(j jobUsage, id string) int { return strings.Compare(j.id, id) })
	if !found {
		e.jobs = slices.Insert(e.jobs, at, jobUsage{id: u.Job})
	}
	e.jobs[at].rate = u.Cores
}

// account returns the state of an account, which it adds if needed.
func (a *Accounts) account(name string) *account {
	e := a.byName[name]
	if e == nil {
		e = &account{weight: a.defaultWeight}
		a.byName[name] = e
	}
	return e
}

// sum recomputes the sums over all accounts, in the order of their names so that
// rounding does not depend on the order of a map.
func (a *Accounts) sum() {
	a.names = a.names[:0]
	for name := range a.byName {
		a.names = append(a.names, name)
	}
	slices.Sort(a.names)
	a.totalWeight, a.totalUsage = 0, 0
	for _, name := range a.names {
		a.totalWeight += a.byName[name].weight
		a.totalUsage += a.byName[name].usage
	}
}

// ratio returns an account's usage relative to its share: 1 if it uses just its share.
func (a *Accounts) ratio(e *account) float64 {
	fair := max(a.totalUsage, minTotal*a.capacity) * e.weight / a.totalWeight
	if fair <= 0 {
		return 0
	}
	return e.usage / fair
}

// standardError returns the standard error of an account's ratio, taking its jobs as
// independent: few large jobs tell little about an account's demand.
func (a *Accounts) standardError(e *account) float64 {
	squares := 0.0
	for _, j := range e.jobs {
		squares += j.usage * j.usage
	}
	if e.usage <= 0 {
		return 0
	}
	return a.ratio(e) * math.Sqrt(squares) / e.usage
}
