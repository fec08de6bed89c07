package ownership

import (
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Event is what can happen to a Core.
type Event interface{ event() }

// Target is a scope with the workers that guard it.
type Target struct {
	Scope model.Scope
	// Workers are fenced and scanned by a new owner.
	Workers []model.Worker
	// Witnesses, for a key group, are those whose majority of holds makes an owner.
	Witnesses []model.WorkerID
	// Near is the data centre that should own it.
	Near model.DataCentre
	// Since is when the scope's workers were last changed by configuration; zero
	// for never. Older keys may have run on workers that are not listed here.
	Since time.Time
}

// Configured gives the scopes of the configuration in force.
type Configured struct{ Targets []Target }

// HostsSeen gives the schedulers of the host list.
type HostsSeen struct{ Hosts []model.Host }

// ClaimRead is a claim in log order.
type ClaimRead struct {
	Offset model.Offset
	Claim  model.Claim
	// At is when the log took the record, by the log's clock.
	At time.Time
}

// CaughtUp says that every claim up to the log's head has been read.
type CaughtUp struct{}

// BeatReceived is an owner's sign of life.
type BeatReceived struct {
	From   model.HostID
	Claims []model.Offset
}

// HandedOver says that an owner stopped deciding for a claim's scope.
type HandedOver struct {
	From  model.HostID
	Claim model.Offset
}

// FenceAnswered is a worker's answer to a Fence; Err is nil when it was raised.
type FenceAnswered struct {
	Scope  model.Scope
	Epoch  model.Epoch
	Worker model.WorkerID
	Fenced platform.Fenced
	Err    error
}

// ListAnswered is a worker's answer to a List.
type ListAnswered struct {
	Scope   model.Scope
	Epoch   model.Epoch
	Worker  model.WorkerID
	Listing platform.Listing
	Err     error
}

// HoldAnswered is a worker's answer to a Hold that was sent at Sent.
type HoldAnswered struct {
	Scope  model.Scope
	Epoch  model.Epoch
	Worker model.WorkerID
	Sent   time.Time
	Held   platform.Held
	Err    error
}

// HoldWanted asks for a hold at a worker that keyed work is to start on. Holds at
// workers that are no witnesses are taken when they are wanted, and given up
// when they have not been for a while.
type HoldWanted struct {
	Group  model.GroupID
	Worker model.WorkerID
}

// Refused says that a worker refused a call of ours under Epoch, because it has
// seen a higher one for the scope.
type Refused struct {
	Scope model.Scope
	Epoch model.Epoch
}

// Drain asks to hand everything over.
type Drain struct{}

// Tick lets time-bound decisions happen.
type Tick struct{}

func (Configured) event()    {}
func (HostsSeen) event()     {}
func (ClaimRead) event()     {}
func (CaughtUp) event()      {}
func (BeatReceived) event()  {}
func (HandedOver) event()    {}
func (FenceAnswered) event() {}
func (ListAnswered) event()  {}
func (HoldAnswered) event()  {}
func (HoldWanted) event()    {}
func (Refused) event()       {}
func (Drain) event()         {}
func (Tick) event()          {}
