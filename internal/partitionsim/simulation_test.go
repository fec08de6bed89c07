package partitionsim

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// simulation runs instances, their store and their workers in virtual time.
type simulation struct {
	t    *testing.T
	seed uint64
	rng  *rand.Rand
	now  time.Duration
	// queue holds the events that are not due yet; scheduled counts all of them.
	queue     eventQueue
	scheduled int
	net       network
	store     store
	// claimed is the highest term of which a claim has been carried out in the store, and
	// renewalsEnd holds when the owner of each term expects earlier owners to renew no more leases.
	claimed     int64
	renewalsEnd map[int64]time.Duration
	fleet       *fleet.Fleet
	heartbeats  []*heartbeat
	instances   []*instance
	policy      *job.Policy
	// submitted holds the jobs that callers submitted.
	submitted []job.Job
	// lossRate is the share of calls whose answer is lost, lateRate of those that are
	// carried out seconds later, and maxDelay what most messages take at most.
	lossRate, lateRate float64
	maxDelay           time.Duration
	// storeDelay is what the store adds to each message.
	storeDelay time.Duration
	// disturbedAt is the latest time at which something was disturbed, and delayedOrders holds the jobs of
	// which an order was delayed or lost on its way.
	disturbedAt   time.Duration
	delayedOrders map[job.ID]bool
	// healed is set once no more faults are made.
	healed bool
	// violations are those that the simulation itself has found.
	violations []string
	trace      []string
	// ownerships counts the times that an instance gained a term.
	ownerships int
}

// newSimulation returns a simulation in which all instances start, with the given number of
// instances, and with some more than the given number of workers, or none.
func newSimulation(t *testing.T, seed uint64, instances, workers int) *simulation {
	s := &simulation{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 41)),
		net:           network{cuts: make(map[direction]linkState), hostsDown: make(map[host]bool)},
		store:         store{terms: topic{key: termKey}, progress: make(map[job.ID]job.Progress)},
		delayedOrders: make(map[job.ID]bool),
		renewalsEnd:   make(map[int64]time.Duration),
		fleet:         fleet.New(randomDurations(seed)),
		policy:        &job.Policy{Accounts: []job.Account{{Name: "a", GuaranteedGPU: 16}}},
	}
	s.lossRate, s.lateRate = s.rng.Float64()*0.06, s.rng.Float64()*0.06
	s.maxDelay = s.between(3*time.Millisecond, 40*time.Millisecond)
	if s.chance(0.15) {
		s.storeDelay = s.between(30*time.Millisecond, 200*time.Millisecond)
	}
	if workers > 0 {
		workers += s.rng.IntN(5)
	}
	for n := range workers {
		s.addWorker(n)
	}
	for n := range instances {
		s.instances = append(s.instances, newInstance(s, n))
	}
	for _, i := range s.instances {
		s.schedule(s.between(0, 300*time.Millisecond), i.start)
	}
	return s
}

// termSettings are those of the platform, with the claim delay of a weaker machine for some.
func (s *simulation) termSettings() term.Settings {
	t := term.DefaultSettings()
	if s.chance(0.3) {
		t.ClaimDelay = s.between(0, maxClaimDelay)
	}
	return t
}

// cellSettings are those that package platform derives from the platform's bounds.
func cellSettings() cell.Settings {
	t := term.DefaultSettings()
	return cell.Settings{
		Lease:              fleet.MaxLease - 50*time.Millisecond,
		StartGrace:         t.StaleAfter - 200*time.Millisecond,
		PreviousOwnerGrace: previousOwnerGrace(),
		GangTimeout:        fleet.GangTimeout,
		RemoteDataFactor:   3, OpenEarly: 250 * time.Millisecond, ReclaimWithin: 2700 * time.Millisecond,
		Retention: 2 * time.Minute,
	}
}

func previousOwnerGrace() time.Duration {
	t := term.DefaultSettings()
	return t.ConfirmTimeout - t.StaleAfter + 300*time.Millisecond
}

// randomDurations returns a function that gives each task a duration that depends only on
// the seed and the task.
func randomDurations(seed uint64) fleet.WorkFunc {
	return func(t job.TaskID, _ int64) (time.Duration, bool) {
		r := rand.New(rand.NewPCG(seed, jobNumber(t.Job)*1000+uint64(t.Step)*100+uint64(t.Index)))
		if r.IntN(5) == 0 {
			return time.Duration(3000+r.IntN(6000)) * time.Millisecond, false
		}
		return time.Duration(200+r.IntN(3000)) * time.Millisecond, false
	}
}

// tracef adds a line to the trace.
func (s *simulation) tracef(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%9.3fs ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

// violationf records a violation of one of the simulation's own rules.
func (s *simulation) violationf(format string, args ...any) {
	v := fmt.Sprintf("%v: ", s.now) + fmt.Sprintf(format, args...)
	s.violations = append(s.violations, v)
	s.tracef("VIOLATION %s", v)
}

// ended reports whether a job's outcome is stored.
func (s *simulation) ended(id job.ID) bool { return s.store.progress[id].Outcome != job.Open }

// openJobs returns the submitted jobs that have not ended.
func (s *simulation) openJobs() []job.ID {
	var out []job.ID
	for _, j := range s.submitted {
		if !s.ended(j.ID) {
			out = append(out, j.ID)
		}
	}
	return out
}

// checkStart records a start that is ordered after the claim of a later term.
func (s *simulation) checkStart(o *owner, order external.StartOrder) {
	if s.claimed > o.term {
		s.violationf("%s orders a start of %v (run %d) under term %d, after the claim of term %d", o.inst.name(), order.Task, order.Run, o.term, s.claimed)
	}
}

// checkClaim records owners that may still start tasks although a later term has been claimed.
func (s *simulation) checkClaim() {
	for _, i := range s.instances {
		if i.owner != nil {
			s.checkMayStart(i.owner)
		}
	}
}

// checkMayStart records an owner whose confirmation lets it start tasks after the claim of a
// later term.
func (s *simulation) checkMayStart(o *owner) {
	until := o.inst.trueTime(o.confirmedAt + cellSettings().StartGrace)
	if s.claimed > o.term && until > s.now {
		s.violationf("%s may start tasks under term %d for %v after the claim of term %d", o.inst.name(), o.term, until-s.now, s.claimed)
	}
}

// checkTakeover records owners that may renew leases for longer than the owner of a later term
// allows for.
func (s *simulation) checkTakeover() {
	for _, i := range s.instances {
		if i.owner != nil {
			s.checkMayRenew(i.owner)
		}
	}
}

// checkMayRenew records an owner whose confirmations let it renew leases for longer than the
// owner of a later term allows for.
func (s *simulation) checkMayRenew(o *owner) {
	until := o.inst.trueTime(o.inst.term.KeptUntil())
	for t := o.term + 1; t <= s.claimed; t++ {
		if end, ok := s.renewalsEnd[t]; ok && until > end {
			s.violationf("%s may renew leases under term %d until %v, and the owner of term %d expects that until %v", o.inst.name(), o.term, until, t, end)
		}
	}
}

// checkLease records a lease that is granted when the next owner no longer expects it.
func (s *simulation) checkLease(o *owner, worker external.WorkerID) {
	for t := o.term + 1; t <= s.claimed; t++ {
		if end, ok := s.renewalsEnd[t]; ok && s.now > end {
			s.violationf("%s grants %s a lease under term %d, and the owner of term %d expected that until %v", o.inst.name(), worker, o.term, t, end)
			return
		}
	}
}
