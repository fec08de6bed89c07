package fleet

import (
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

const (
	// crashDelay is the time from the start of a deadly task to its machine's crash.
	crashDelay = 10 * time.Millisecond
	// maxCrashes is how many machines may crash under a task before its further starts
	// are counted; maxStartsAfter is how many of these are allowed.
	maxCrashes     = 3
	maxStartsAfter = 2
)

// Crash ends the machine's process for good: its runs and its state are lost.
func (m *Machine) Crash() {
	f := m.fleet
	f.Crashes++
	m.Restart()
	m.Down, m.crashed, m.crashAt = true, true, 0
	if f.OnCrash != nil {
		f.OnCrash(m)
	}
}

// Replace starts a process with another name at the address of a crashed machine.
func (f *Fleet) Replace(m *Machine, id external.WorkerID) *Machine {
	w := m.Worker
	w.ID = id
	m.replacement = f.Add(w)
	m.replacement.Unguarded = m.Unguarded
	return m.replacement
}

// CrashesUnder returns the largest number of machines that have crashed, or were restarted,
// under one task of a job.
func (f *Fleet) CrashesUnder(id job.ID) int { return maxOfJob(f.crashes, id) }

// Revive starts the machine's process again, under its name, after a crash.
func (m *Machine) Revive() {
	m.Restart()
	m.Down, m.crashed = false, false
}

// checkCrashes records a start of a task that has crashed too many machines.
func (f *Fleet) checkCrashes(m *Machine, o external.StartOrder) {
	if f.Deadly == nil || !f.Deadly(o.Task) {
		return
	}
	m.crashAt = f.now + crashDelay
	if f.crashes[o.Task] < maxCrashes {
		return
	}
	f.startsAfterCrashes[o.Task]++
	if f.startsAfterCrashes[o.Task] > maxStartsAfter {
		f.violationf("start of %v, under which %d machines have crashed", o.Task, f.crashes[o.Task])
	}
}
