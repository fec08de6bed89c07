package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// Bounds of the machines.
const (
	// MaxLease is the longest lease that is granted.
	MaxLease = 6 * time.Second
	// GangTimeout is how long a gang's member waits for the others.
	GangTimeout        = 3 * time.Second
	checkpointInterval = 500 * time.Millisecond
)

// WorkFunc says how long a task works at full speed and whether it fails by its own fault.
type WorkFunc func(t job.TaskID, run int64) (d time.Duration, fails bool)

// Fleet is all machines, with an account of what they were told to do.
type Fleet struct {
	work     WorkFunc
	now      time.Duration
	machines map[external.WorkerID]*Machine
	order    []*Machine
	jobs     map[job.ID]*job.Job
	// gangs holds the runs of each gang that are on machines.
	gangs   map[gangRun][]*live
	stopped map[job.ID]time.Duration
	// done holds tasks of which a run has ended done and that end was
	// acknowledged, listed those whose end is listed only, ever all of them, also
	// those whose machine has forgotten the end.
	done   map[job.TaskID]bool
	ever   map[job.TaskID]bool
	listed map[job.TaskID]*Machine
	faults []string
	ran    map[job.ID]bool
	// Starts counts runs that were started.
	Starts int
	// OrderDelayed is set while an order is carried out that was held up on its way;
	// bounds on time don't hold for it.
	OrderDelayed bool
}

// New makes a fleet without machines.
func New(w WorkFunc) *Fleet {
	return &Fleet{
		work: w, machines: make(map[external.WorkerID]*Machine), jobs: make(map[job.ID]*job.Job), gangs: make(map[gangRun][]*live),
		stopped: make(map[job.ID]time.Duration), ran: make(map[job.ID]bool), done: make(map[job.TaskID]bool), ever: make(map[job.TaskID]bool), listed: make(map[job.TaskID]*Machine),
	}
}

// Add adds a machine that is born now.
func (f *Fleet) Add(w external.Worker) *Machine {
	m := &Machine{Worker: w, Pace: 1, ClockRate: 1, fleet: f}
	m.birth()
	f.machines[w.ID] = m
	f.order = append(f.order, m)
	return m
}

// Restart ends everything on the machine; it knows nothing of before.
func (m *Machine) Restart() {
	for _, l := range m.live {
		m.fleet.forgetEnd(m, l.task)
		m.fleet.leaveGang(l)
	}
	for t, on := range m.fleet.listed {
		if on == m {
			delete(m.fleet.listed, t)
		}
	}
	m.birth()
}

func (m *Machine) birth() {
	m.bornAt, m.advanced = m.fleet.now, m.fleet.now
	m.StartedMS = 1 + int64(m.fleet.now/time.Millisecond)
	m.fence, m.lease, m.live, m.ended, m.lastEnd = 0, 0, nil, nil, 0
	m.barred = make(map[job.TaskID]int64)
}

// Submit makes a job known, as the platform's callers know what they sent.
func (f *Fleet) Submit(j *job.Job) { f.jobs[j.ID] = j }

// ForbidStarts says that nothing of a job may start from a time on.
func (f *Fleet) ForbidStarts(id job.ID, at time.Duration) { f.stopped[id] = at }

// Violations gives what must not have happened, in order.
func (f *Fleet) Violations() []string { return f.faults }

// StartedJobs gives the jobs of which some task was started, in order.
func (f *Fleet) StartedJobs() []job.ID {
	var out []job.ID
	for id := range f.ran {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// RunningCount gives the number of runs on machines that are up.
func (f *Fleet) RunningCount() int {
	n := 0
	for _, m := range f.order {
		n += len(m.live)
	}
	return n
}

func (f *Fleet) fault(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf("%v: ", f.now)+fmt.Sprintf(format, args...))
}

// Advance moves time on: work is done, leases lapse, gangs begin and end.
func (f *Fleet) Advance(to time.Duration) {
	const slice = 10 * time.Millisecond
	for f.now < to {
		f.now = min(f.now+slice, to)
		for _, m := range f.order {
			m.advance(f.now)
		}
	}
}

func (m *Machine) advance(now time.Duration) {
	passed := now - m.advanced
	m.advanced = now
	if m.Down {
		return
	}
	if len(m.live) > 0 && m.clock(now) > m.lease {
		for _, l := range slices.Clone(m.live) {
			m.end(l, external.EndedLeaseExpired)
		}
		return
	}
	for _, l := range slices.Clone(m.live) {
		if m.find(l.task, l.run) == l {
			m.advanceRun(l, passed)
		}
	}
}

func (m *Machine) advanceRun(l *live, passed time.Duration) {
	f := m.fleet
	if l.step.Gang && !f.gangComplete(l) {
		if f.now-l.arrived > GangTimeout {
			m.end(l, external.EndedGangIncomplete)
			f.breakGang(l)
		}
		return
	}
	if m.Mode == Hanging {
		return
	}
	if l.doomed > 0 && f.now >= l.doomed {
		m.end(l, external.EndedFailed)
		f.breakGang(l)
		return
	}
	if l.step.LongRunning {
		return
	}
	l.left -= time.Duration(float64(passed) * m.Pace * float64(l.pace) / 100)
	if done := l.total - l.left; done-l.saved >= checkpointInterval {
		l.saved = done.Truncate(checkpointInterval)
	}
	if l.left > 0 {
		return
	}
	_, fails := f.work(l.task, l.run)
	if fails || m.Mode == Failing {
		m.end(l, external.EndedFailed)
		f.breakGang(l)
		return
	}
	if l.step.Gang {
		f.endGang(l)
		return
	}
	m.end(l, external.EndedDone)
}

// gangRun names one run of a gang.
type gangRun struct {
	job              job.ID
	occurrence, step int
	run              int64
}

func (l *live) gang() gangRun {
	return gangRun{job: l.task.Job, occurrence: l.task.Occurrence, step: l.task.Step, run: l.run}
}

func (f *Fleet) joinGang(l *live) {
	if l.step.Gang {
		f.gangs[l.gang()] = append(f.gangs[l.gang()], l)
	}
}

func (f *Fleet) leaveGang(l *live) {
	if !l.step.Gang {
		return
	}
	left := slices.DeleteFunc(f.gangs[l.gang()], func(o *live) bool { return o == l })
	if len(left) == 0 {
		delete(f.gangs, l.gang())
		return
	}
	f.gangs[l.gang()] = left
}

// members gives the runs of a gang that are on machines.
func (f *Fleet) members(of *live) []*live { return slices.Clone(f.gangs[of.gang()]) }

func sameGang(a, b job.TaskID) bool {
	return a.Job == b.Job && a.Occurrence == b.Occurrence && a.Step == b.Step
}

func (f *Fleet) gangComplete(l *live) bool { return len(f.gangs[l.gang()]) == l.step.Count }

func (f *Fleet) breakGang(l *live) {
	if !l.step.Gang {
		return
	}
	for _, o := range f.members(l) {
		o.machine.end(o, external.EndedGangBroken)
	}
}

// endGang ends all members once the last of them has done its work.
func (f *Fleet) endGang(l *live) {
	for _, o := range f.members(l) {
		if o.left > 0 {
			return
		}
	}
	for _, o := range f.members(l) {
		o.machine.end(o, external.EndedDone)
	}
}

// noteEnd keeps which tasks are done.
func (f *Fleet) noteEnd(m *Machine, l *live, how external.EndReason) {
	if how == external.EndedDone {
		f.listed[l.task] = m
		f.ever[l.task] = true
	}
}

func (f *Fleet) forgetEnd(m *Machine, t job.TaskID) {
	if f.listed[t] == m {
		delete(f.listed, t)
	}
}

// acknowledged makes ends that were listed count for good.
func (f *Fleet) acknowledged(t job.TaskID) {
	if _, ok := f.listed[t]; ok {
		f.done[t] = true
	}
}

// Names gives the machines' names in order.
func (f *Fleet) Names() string {
	var out []string
	for _, m := range f.order {
		out = append(out, string(m.ID))
	}
	return strings.Join(out, " ")
}

// Machine gives a machine by its name, or nil.
func (f *Fleet) Machine(id external.WorkerID) *Machine { return f.machines[id] }
