package fleet

import (
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// Mode is how a machine treats what runs on it.
type Mode int

// The modes of a machine.
const (
	// Healthy machines do their work.
	Healthy Mode = iota
	// Failing machines fail what they start.
	Failing
	// Hanging machines make no progress.
	Hanging
	// Rejecting machines fail what they start soon after; what ran before goes on.
	Rejecting
)

// Rejecting machines fail a task between rejectLeast and rejectMost after its start.
const (
	rejectLeast = 50 * time.Millisecond
	rejectMost  = 270 * time.Millisecond
)

// Machine is one worker.
type Machine struct {
	external.Worker
	// Mode and Pace may be set at any time; Pace 1 is full speed.
	Mode Mode
	Pace float64
	// ClockRate is how fast the machine's clock runs, 1 for true time.
	ClockRate float64
	// Down machines answer nothing and run nothing.
	Down bool

	fleet    *Fleet
	bornAt   time.Duration
	fence    int64
	lease    time.Duration
	live     []*live
	ended    []external.EndedRun
	lastEnd  int64
	barred   map[job.TaskID]int64
	advanced time.Duration
}

// live is a run on a machine.
type live struct {
	task    job.TaskID
	run     int64
	step    *job.Step
	machine *Machine
	// left is the work that remains, total all of it.
	left    time.Duration
	total   time.Duration
	saved   time.Duration
	arrived time.Duration
	// doomed is when the run fails, 0 for one on a sound machine.
	doomed time.Duration
	// pace is the share of its speed in percent.
	pace int
}

// clock gives the machine's steady clock.
func (m *Machine) clock(now time.Duration) time.Duration {
	return time.Millisecond + time.Duration(float64(now-m.bornAt)*m.ClockRate)
}

func (m *Machine) find(t job.TaskID, run int64) *live {
	for _, l := range m.live {
		if l.task == t && l.run == run {
			return l
		}
	}
	return nil
}

func (m *Machine) free() job.Resources {
	r := m.Capacity
	for _, l := range m.live {
		r = r.Minus(l.step.Resources())
	}
	return r
}

// end takes a run off the machine and lists its end.
func (m *Machine) end(l *live, how external.EndReason) {
	for i, o := range m.live {
		if o == l {
			m.live = append(m.live[:i:i], m.live[i+1:]...)
			break
		}
	}
	if m.barred[l.task] < l.run {
		m.barred[l.task] = l.run
	}
	m.fleet.leaveGang(l)
	m.lastEnd++
	m.ended = append(m.ended, external.EndedRun{Number: m.lastEnd, Task: l.task, Run: l.run, Reason: how, Checkpoint: l.checkpoint()})
	m.fleet.noteEnd(m, l, how)
}

// checkpoint gives the run's latest checkpoint, empty when it has none.
func (l *live) checkpoint() string {
	if !l.step.Checkpoints || l.saved == 0 {
		return ""
	}
	return l.saved.String()
}

// figure gives a serving task's tail in milliseconds: half of its target, and as
// much again for each filling task at full pace beside it.
func (m *Machine) figure(l *live) int {
	if l.step.LatencyTargetMS == 0 {
		return l.step.CPU
	}
	tail := l.step.LatencyTargetMS / 2
	for _, o := range m.live {
		if o.step.BestEffortCPU {
			tail += l.step.LatencyTargetMS * o.pace / 100
		}
	}
	return tail
}

func (l *live) percent() int {
	if l.step.LongRunning {
		return 100
	}
	if l.total == 0 {
		return 100
	}
	return int(100 * (l.total - l.left) / l.total)
}
