package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// Limits that apply to every machine.
const (
	// MaxLease is the longest lease that a machine grants.
	MaxLease = 6 * time.Second
	// GangTimeout is how long a member of a gang waits for the other members.
	GangTimeout = 3 * time.Second
	// checkpointInterval is the amount of work between two checkpoints of a run.
	checkpointInterval = 500 * time.Millisecond
	// maxListedEnds is the default of Fleet.MaxListedEnds.
	maxListedEnds = 500
)

// WorkFunc returns how long a run of a task takes at full speed, and whether the
// run fails for a reason of its own.
type WorkFunc func(t job.TaskID, run int64) (d time.Duration, fails bool)

// Fleet is a set of simulated machines together with a record of the orders that
// they carried out.
type Fleet struct {
	work     WorkFunc
	now      time.Duration
	byID     map[external.WorkerID]*Machine
	machines []*Machine
	// submitted holds the jobs that callers submitted.
	submitted map[job.ID]*job.Job
	// gangs holds the runs of gangs of which a member is on a machine.
	gangs map[gangRun]*gang
	// alone holds the runs that ended alone, until they are taken.
	alone []Alone
	// noStartsAfter holds, by job, the time from which none of its tasks may start.
	noStartsAfter map[job.ID]time.Duration
	// drainedAfter holds, by data centre, the time from which no task may start there.
	drainedAfter map[string]time.Duration
	// everDone holds the tasks of which a run ended as done. acknowledgedDone holds
	// those of which such an end was acknowledged. listedDone holds the machines
	// that have not lost such an end in a restart.
	acknowledgedDone map[job.TaskID]bool
	everDone         map[job.TaskID]bool
	listedDone       map[job.TaskID]*Machine
	// doneEnds holds, by task, the ends as done that have not been acknowledged.
	doneEnds   map[job.TaskID][]*doneEnd
	violations []string
	// MaxListedEnds is the number of ended runs that a machine lists in one answer at most.
	MaxListedEnds int
	// startedJobs holds the jobs of which a task was started.
	startedJobs map[job.ID]bool
	// Deadly, if set, says whether a task crashes each machine that starts it. OnCrash, if
	// set, is called after a crash.
	Deadly  func(job.TaskID) bool
	OnCrash func(*Machine)
	// Slowdown, if set, says how tasks on one machine slow each other down.
	Slowdown SlowdownFunc
	// FarFactor, if set, is how many times longer a task takes on another rack than its data's or
	// than the rest of a gang that is to be on one rack.
	FarFactor float64
	// Crashes is the number of machines that have crashed under a task; crashes and
	// startsAfterCrashes count, by task, those and the starts after maxCrashes of them.
	Crashes            int
	crashes            map[job.TaskID]int
	startsAfterCrashes map[job.TaskID]int
	// failures counts the failed runs by task, and acknowledgedFailures those of which the end was
	// acknowledged; lastEnd is when its last run ended, however.
	failures             map[job.TaskID]int
	acknowledgedFailures map[job.TaskID]int
	lastEnd              map[job.TaskID]time.Duration
	// EpochMS is the fleet's time 0 in Unix milliseconds, for jobs with due times.
	EpochMS int64
	// LastingTime, if set, returns after how long a run of a task without end fails, or 0.
	LastingTime func(t job.TaskID, run int64) time.Duration
	// Allows, if set, says where the advice service allows steps; TicketTime is how long its
	// tickets are valid, or 0 if starts need none. AdviceCut says that nobody can ask it, so that
	// no task waits for it.
	Allows        AllowFunc
	TicketTime    time.Duration
	AdviceCut     bool
	tickets       map[stepOn][]ticket
	ticketsIssued int
	// IncompleteGangs is the number of runs that ended as the rest of their gang did not start.
	IncompleteGangs int
	// Starts is the number of runs that were started.
	Starts int
	// OrderDelayed is set while an order is carried out that was delayed by the
	// network. The check for starts of cancelled jobs is then skipped.
	OrderDelayed bool
}

// New returns a fleet without machines.
func New(w WorkFunc) *Fleet {
	return &Fleet{
		work: w, MaxListedEnds: maxListedEnds, doneEnds: make(map[job.TaskID][]*doneEnd), crashes: make(map[job.TaskID]int), startsAfterCrashes: make(map[job.TaskID]int), failures: make(map[job.TaskID]int), acknowledgedFailures: make(map[job.TaskID]int), lastEnd: make(map[job.TaskID]time.Duration), tickets: make(map[stepOn][]ticket), byID: make(map[external.WorkerID]*Machine), submitted: make(map[job.ID]*job.Job), gangs: make(map[gangRun]*gang),
		drainedAfter: make(map[string]time.Duration), noStartsAfter: make(map[job.ID]time.Duration), startedJobs: make(map[job.ID]bool), acknowledgedDone: make(map[job.TaskID]bool), everDone: make(map[job.TaskID]bool), listedDone: make(map[job.TaskID]*Machine),
	}
}

// SetWork replaces what says how long runs take.
func (f *Fleet) SetWork(w WorkFunc) { f.work = w }

// Add adds a machine that starts now.
func (f *Fleet) Add(w external.Worker) *Machine {
	m := &Machine{Worker: w, Pace: 1, ClockRate: 1, fleet: f}
	m.reset()
	f.byID[w.ID] = m
	f.machines = append(f.machines, m)
	return m
}

// Restart restarts the machine: its runs end, and its state is lost.
func (m *Machine) Restart() {
	for _, run := range m.runs {
		m.fleet.crashes[run.task]++
		m.fleet.lastEnd[run.task] = m.fleet.now
		m.fleet.forgetListedDone(m, run.task)
		m.fleet.loseMember(run)
	}
	for t, on := range m.fleet.listedDone {
		if on == m {
			delete(m.fleet.listedDone, t)
		}
	}
	m.reset()
}

func (m *Machine) reset() {
	m.fleet.removeDoneEnds(m, m.lastEndNumber)
	m.startedAt, m.advancedTo = m.fleet.now, m.fleet.now
	m.StartedMS = 1 + int64(m.fleet.now/time.Millisecond)
	m.fencingToken, m.leaseEnd, m.runs, m.ended, m.lastEndNumber = 0, 0, nil, nil, 0
	m.barredRuns = make(map[job.TaskID]int64)
}

// Submit adds a job to those that callers submitted; tasks of any other job are
// not started.
func (f *Fleet) Submit(j *job.Job) { f.submitted[j.ID] = j }

// ForbidStarts makes every start of a task of the job after the given time a
// violation.
func (f *Fleet) ForbidStarts(id job.ID, at time.Duration) { f.noStartsAfter[id] = at }

// Now returns the fleet's time.
func (f *Fleet) Now() time.Duration { return f.now }

// Drain makes every start in a data centre after the given time a violation.
func (f *Fleet) Drain(dataCentre string, at time.Duration) { f.drainedAfter[dataCentre] = at }

// TakeBack ends a drain.
func (f *Fleet) TakeBack(dataCentre string) { delete(f.drainedAfter, dataCentre) }

// Violations returns the violations recorded so far, in the order in which they occurred.
func (f *Fleet) Violations() []string { return f.violations }

// StartedJobs returns the jobs of which a task was started, in the order of their ids.
func (f *Fleet) StartedJobs() []job.ID {
	var out []job.ID
	for id := range f.startedJobs {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// RunningCount returns the number of runs on all machines.
func (f *Fleet) RunningCount() int {
	n := 0
	for _, m := range f.machines {
		n += len(m.runs)
	}
	return n
}

func (f *Fleet) violationf(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%v: ", f.now)+fmt.Sprintf(format, args...))
}

// Advance moves the clock forward: runs make progress, leases expire, and gangs
// start and end.
func (f *Fleet) Advance(to time.Duration) {
	const tick = 10 * time.Millisecond
	for f.now < to {
		f.now = min(f.now+tick, to)
		for _, m := range f.machines {
			m.advance(f.now)
		}
	}
}

func (m *Machine) advance(now time.Duration) {
	passed := now - m.advancedTo
	m.advancedTo = now
	m.checkLease(now)
	if m.Down {
		return
	}
	if m.crashAt > 0 && now >= m.crashAt {
		m.Crash()
		return
	}
	if len(m.runs) > 0 && m.clock(now) > m.leaseEnd {
		for _, run := range slices.Clone(m.runs) {
			m.fleet.expireMember(run)
			m.end(run, external.EndedLeaseExpired)
		}
		return
	}
	for _, run := range slices.Clone(m.runs) {
		if m.find(run.task, run.number) == run {
			m.advanceRun(run, passed)
		}
	}
}

func (m *Machine) advanceRun(run *taskRun, passed time.Duration) {
	f := m.fleet
	if run.step.Gang && !f.gangComplete(run) {
		if f.now-run.startedAt > GangTimeout {
			f.endAlone(run)
		}
		return
	}
	if m.Mode == Hanging {
		return
	}
	if run.failsAt > 0 && f.now >= run.failsAt {
		m.end(run, external.EndedFailed)
		f.stopRestOfGang(run)
		return
	}
	if run.step.LongRunning {
		if d := f.lastingTime(run); d > 0 && f.now-run.startedAt >= d {
			m.end(run, external.EndedFailed)
			f.stopRestOfGang(run)
		}
		return
	}
	run.remaining -= time.Duration(float64(passed) * m.Pace * float64(run.pacePercent) / 100 / m.slowdown(run) / f.farSlowdown(run))
	if done := run.total - run.remaining; done-run.checkpointed >= checkpointInterval {
		run.checkpointed = done.Truncate(checkpointInterval)
	}
	if run.remaining > 0 {
		return
	}
	_, fails := f.work(run.task, run.number)
	if fails || m.Mode == Failing {
		m.end(run, external.EndedFailed)
		f.stopRestOfGang(run)
		return
	}
	if run.step.Gang {
		f.finishGang(run)
		return
	}
	m.end(run, external.EndedDone)
}

// lastingTime returns after how long a run of a task without end fails, or 0.
func (f *Fleet) lastingTime(run *taskRun) time.Duration {
	if f.LastingTime == nil {
		return 0
	}
	return f.LastingTime(run.task, run.number)
}

// gangRun identifies one run of a gang.
type gangRun struct {
	job              job.ID
	occurrence, step int
	run              int64
}

func (run *taskRun) gang() gangRun {
	return gangRun{job: run.task.Job, occurrence: run.task.Occurrence, step: run.task.Step, run: run.number}
}

func sameStep(a, b job.TaskID) bool {
	return a.Job == b.Job && a.Occurrence == b.Occurrence && a.Step == b.Step
}

// stopRestOfGang ends the other members of the run's gang.
func (f *Fleet) stopRestOfGang(run *taskRun) {
	if !run.step.Gang {
		return
	}
	for _, o := range f.members(run) {
		o.machine.end(o, external.EndedGangBroken)
	}
}

// finishGang ends all members as done once the last of them has finished its work, unless one of them fails.
func (f *Fleet) finishGang(run *taskRun) {
	for _, o := range f.members(run) {
		if o.remaining > 0 {
			return
		}
	}
	for _, o := range f.members(run) {
		if _, fails := f.work(o.task, o.number); fails || o.machine.Mode == Failing {
			o.machine.end(o, external.EndedFailed)
			f.stopRestOfGang(run)
			return
		}
	}
	for _, o := range f.members(run) {
		o.machine.end(o, external.EndedDone)
	}
}

// recordEnd records the task of a run that ended as done or failed.
func (f *Fleet) recordEnd(m *Machine, run *taskRun, reason external.EndReason) {
	f.lastEnd[run.task] = f.now
	switch reason {
	case external.EndedDone:
		f.listedDone[run.task] = m
		f.everDone[run.task] = true
		f.addDoneEnd(m, run)
	case external.EndedFailed:
		f.failures[run.task]++
	}
}

func (f *Fleet) forgetListedDone(m *Machine, t job.TaskID) {
	if f.listedDone[t] == m {
		delete(f.listedDone, t)
	}
}

// acknowledgeDone records that the end of a done task was acknowledged.
func (f *Fleet) acknowledgeDone(t job.TaskID) {
	if _, ok := f.listedDone[t]; ok {
		f.acknowledgedDone[t] = true
	}
}

// Failures returns the largest number of failed runs of one task of a job.
func (f *Fleet) Failures(id job.ID) int { return maxOfJob(f.failures, id) }

// maxOfJob returns the largest count of a task of the job.
func maxOfJob(counts map[job.TaskID]int, id job.ID) int {
	n := 0
	for t, count := range counts {
		if t.Job == id {
			n = max(n, count)
		}
	}
	return n
}

// Names returns the machines' names in the order in which the machines were added.
func (f *Fleet) Names() string {
	var out []string
	for _, m := range f.machines {
		out = append(out, string(m.ID))
	}
	return strings.Join(out, " ")
}

// Machines returns the machines whose processes have not crashed, in the order in which
// they were added.
func (f *Fleet) Machines() []*Machine {
	var out []*Machine
	for _, m := range f.machines {
		if !m.crashed {
			out = append(out, m)
		}
	}
	return out
}

// Machine returns a machine by its name, or nil if there is none.
func (f *Fleet) Machine(id external.WorkerID) *Machine { return f.byID[id] }
