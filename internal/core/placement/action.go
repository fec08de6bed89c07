package placement

import (
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Action is what a Core asks its shell to do.
type Action interface{ action() }

// Begin asks for all leases first and then for all starts. The shell answers
// with Started or BeginFailed.
type Begin struct {
	Work       model.Work
	Group      model.GroupID
	GroupEpoch model.Epoch
	Attempt    int
	Parts      []Part
	// Reclaimed is how long it waited for victims to leave; zero if it had none.
	Reclaimed time.Duration
}

// Part is one member of a Begin.
type Part struct {
	Member int
	Lease  model.LeaseID
	Cell   model.CellID
	Worker model.WorkerID
	Shape  model.Shape
}

// Abort asks to release every lease of a Begin that is under way.
type Abort struct{ Key model.Key }

// Control asks a worker to checkpoint, throttle or stop a task.
type Control struct {
	Lease  model.LeaseID
	Cell   model.CellID
	Worker model.WorkerID
	Verb   platform.Verb
}

// Refuse gives work up before any part of it started.
type Refuse struct {
	Key        model.Key
	Reason     model.Reason
	RetryAfter time.Duration
}

// Complete says that all members of started work have ended. The endings
// themselves reached the shell before. Failed tells whether any member failed.
type Complete struct {
	Key    model.Key
	Failed bool
	Reason model.Reason
}

// Alarm tells operators of something that needs them.
type Alarm struct {
	Code    AlarmCode
	Account model.Account
	Worker  model.WorkerID
	Cell    model.CellID
	Text    string
}

// AlarmCode names an alarm.
type AlarmCode string

// The alarms.
const (
	AlarmGuaranteeUnmet AlarmCode = "guarantee_unmet"
	AlarmWorkerAside    AlarmCode = "worker_set_aside"
	AlarmReclaimLate    AlarmCode = "reclaim_late"
	AlarmLargeWait      AlarmCode = "large_job_past_bound"
)

func (Begin) action()    {}
func (Abort) action()    {}
func (Control) action()  {}
func (Refuse) action()   {}
func (Complete) action() {}
func (Alarm) action()    {}
