package route

import (
	"time"

	"coltsfootmux/internal/mapping"
	"coltsfootmux/internal/model"
)

// CallID identifies one call about a key.
type CallID uint64

// Event is an input of Router.Step.
type Event interface{ event() }

type (
	// Configured reports that a new configuration is in force.
	Configured struct {
		Mapping *mapping.Mapping
		// RetryShare is the number of retries after a short delay that are allowed
		// per call. Further retries wait for the longest delay.
		RetryShare float64
	}
	// HostsRead reports the current host list of the platform.
	HostsRead struct{ Hosts []model.Host }
	// Begin starts a call about a key. Deadline is when its caller stops waiting.
	Begin struct {
		ID       CallID
		Key      model.Key
		Deadline time.Time
	}
	// Answered reports that the scheduler answered the call. Epoch is the group's
	// epoch at the scheduler; 0 if the answer doesn't tell it.
	Answered struct {
		ID    CallID
		Epoch model.Epoch
	}
	// Moved reports that the scheduler rejected the call and did nothing. Owner is
	// the scheduler that it believes to own the key's group; its address is empty
	// if it knows none. Epoch is set if the scheduler owns the group itself, but
	// the call was sent with another epoch than its own.
	Moved struct {
		ID    CallID
		Owner model.Member
		Epoch model.Epoch
	}
	// NotExecuted reports that the call certainly had no effect at the scheduler.
	NotExecuted struct {
		ID CallID
		// Overloaded is set if a bounded queue on the way to it was full.
		Overloaded bool
	}
	// OutcomeUnknown reports that the call may have had an effect at the scheduler.
	OutcomeUnknown struct{ ID CallID }
	// SleepEnded reports that the time of a Sleep has passed.
	SleepEnded struct{ ID CallID }
	// Expired reports that the call's caller no longer waits: the deadline has
	// passed or the caller has gone.
	Expired struct{ ID CallID }
)

func (Configured) event()     {}
func (HostsRead) event()      {}
func (Begin) event()          {}
func (Answered) event()       {}
func (Moved) event()          {}
func (NotExecuted) event()    {}
func (OutcomeUnknown) event() {}
func (SleepEnded) event()     {}
func (Expired) event()        {}
