package worker

import (
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// lease is capacity reserved for a cell, and the task in it once it has started.
type lease struct {
	id      model.LeaseID
	cell    model.CellID
	shape   model.Shape
	label   platform.Label
	granted time.Time
	expires time.Time
	task    *task
}

// task is the one task of a lease.
type task struct {
	plan      Plan
	startedAt time.Time
	due       time.Time
	// checkpoint is when the requested checkpoint will be complete, or zero if none was requested.
	checkpoint time.Time
	throttled  bool
	runNum     int // its number in the journal
}

// nextEnd returns when and how the lease will end unless something else ends it first.
func (l *lease) nextEnd() (time.Time, platform.EndState) {
	at, state := l.expires, platform.EndLapsed
	if l.task == nil {
		return at, state
	}
	if c := l.task.checkpoint; !c.IsZero() && !c.After(at) {
		at, state = c, platform.EndCheckpointed
	}
	if !l.task.due.After(at) {
		at, state = l.task.due, endState(l.task.plan.Failed)
	}
	return at, state
}

func endState(failed bool) platform.EndState {
	if failed {
		return platform.EndFailed
	}
	return platform.EndDone
}

func (l *lease) inScope(s model.Scope) bool {
	return inScope(s, l.cell, l.label.Group)
}

func inScope(s model.Scope, cell model.CellID, group model.GroupID) bool {
	return s == model.CellScope(cell) || s == model.GroupScope(group)
}
