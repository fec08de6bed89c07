package fleet

import (
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// Mode is how a machine treats the runs on it.
type Mode int

// The modes of a machine.
const (
	// Healthy machines run tasks normally.
	Healthy Mode = iota
	// Failing machines let every run fail at its end.
	Failing
	// Hanging machines make no progress.
	Hanging
	// Rejecting machines let a new run fail soon after its start; earlier runs go on.
	Rejecting
)

// A Rejecting machine fails a run between minRejectDelay and maxRejectDelay after its start.
const (
	minRejectDelay = 50 * time.Millisecond
	maxRejectDelay = 270 * time.Millisecond
)

// Machine is one simulated worker.
type Machine struct {
	external.Worker
	// Mode and Pace may be set at any time. A Pace of 1 is full speed.
	Mode Mode
	Pace float64
	// ClockRate is the speed of the machine's clock, 1 for true time.
	ClockRate float64
	// Down machines answer no orders, and their runs make no progress.
	Down bool
	// Unguarded machines start whatever they are told to, whether it fits or not.
	Unguarded bool
	// before is the capacity that still counts until beforeEnd, after the machine shrank.
	before    job.Resources
	beforeEnd time.Duration
	// crashed is set once the machine's process has ended for good; replacement is the
	// process that runs at its address since, if any. crashAt is when a run that crashes
	// its machine will do so, or 0.
	crashed     bool
	replacement *Machine
	crashAt     time.Duration

	fleet        *Fleet
	startedAt    time.Duration
	fencingToken int64
	// leaseEnd is when the lease of all runs expires, by the machine's clock.
	leaseEnd      time.Duration
	runs          []*taskRun
	ended         []external.EndedRun
	lastEndNumber int64
	// doneEnds holds the machine's part of Fleet.doneEnds, in the order of their numbers.
	doneEnds []*doneEnd
	// barredRuns holds, by task, the highest run that has ended or was stopped; it
	// and all earlier runs are not started again.
	barredRuns map[job.TaskID]int64
	advancedTo time.Duration
}

// taskRun is a run of a task on a machine.
type taskRun struct {
	task    job.TaskID
	number  int64
	step    *job.Step
	machine *Machine
	// remaining is the work that is left at full speed, total all of the run's work,
	// and checkpointed the work that the latest checkpoint covers.
	remaining    time.Duration
	total        time.Duration
	checkpointed time.Duration
	startedAt    time.Duration
	// failsAt is when the run fails, or 0 if the machine was not Rejecting at its start.
	failsAt time.Duration
	// pacePercent is the speed that the run was ordered to have, in percent.
	pacePercent int
}

// clock returns the machine's monotonic clock.
func (m *Machine) clock(now time.Duration) time.Duration {
	return time.Millisecond + time.Duration(float64(now-m.startedAt)*m.ClockRate)
}

func (m *Machine) find(t job.TaskID, number int64) *taskRun {
	for _, run := range m.runs {
		if run.task == t && run.number == number {
			return run
		}
	}
	return nil
}

func (m *Machine) free() job.Resources {
	r := m.Capacity
	for _, run := range m.runs {
		r = r.Minus(run.step.Resources())
	}
	return r
}

// end removes a run from the machine and adds its end to the list.
func (m *Machine) end(run *taskRun, reason external.EndReason) {
	for i, o := range m.runs {
		if o == run {
			m.runs = append(m.runs[:i:i], m.runs[i+1:]...)
			break
		}
	}
	if m.barredRuns[run.task] < run.number {
		m.barredRuns[run.task] = run.number
	}
	m.fleet.leaveGang(run)
	m.lastEndNumber++
	m.ended = append(m.ended, external.EndedRun{Number: m.lastEndNumber, Task: run.task, Run: run.number, Reason: reason, Checkpoint: run.checkpoint()})
	m.fleet.recordEnd(m, run, reason)
}

// checkpoint returns the run's latest checkpoint, or "" if it has none.
func (run *taskRun) checkpoint() string {
	if !run.step.Checkpoints || run.checkpointed == 0 {
		return ""
	}
	return run.checkpointed.String()
}

// measurement returns what the machine measures of a run: its CPU, or, for a
// serving task, its tail latency in milliseconds. That is half of its target,
// slowed by its neighbours, plus the whole target for each best-effort task beside it at full pace.
func (m *Machine) measurement(run *taskRun) int {
	if run.step.LatencyTargetMS == 0 {
		return run.step.CPU
	}
	tail := int(float64(run.step.LatencyTargetMS) / 2 * m.slowdown(run))
	for _, o := range m.runs {
		if o.step.BestEffortCPU {
			tail += run.step.LatencyTargetMS * o.pacePercent / 100
		}
	}
	return tail
}

func (run *taskRun) percentDone() int {
	if run.step.LongRunning {
		return 100
	}
	if run.total == 0 {
		return 100
	}
	return int(100 * (run.total - run.remaining) / run.total)
}
