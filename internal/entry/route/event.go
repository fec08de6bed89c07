package route

import (
	"time"

	"coltsfootmux/internal/mapping"
	"coltsfootmux/internal/model"
)

// Ticket names one call about a key.
type Ticket uint64

// Event is something that happened.
type Event interface{ event() }

type (
	// Configured says that a new configuration is in force.
	Configured struct {
		Mapping *mapping.Mapping
		// RetryShare is the share of calls that may start further rounds early.
		RetryShare float64
	}
	// HostsSeen is the host list as the platform last gave it.
	HostsSeen struct{ Hosts []model.Host }
	// Begin starts a call about a key. Until is when its caller stops waiting.
	Begin struct {
		Ticket Ticket
		Key    model.Key
		Until  time.Time
	}
	// Settled says that the asked scheduler answered for the key. Epoch is the
	// group's epoch there; 0 when it wasn't told.
	Settled struct {
		Ticket Ticket
		Epoch  model.Epoch
	}
	// Moved says that the asked scheduler did nothing. Owner is who it thinks
	// owns the key's group; its address is empty when it doesn't know. Epoch is
	// set when the asked one owns the group itself, under another epoch than the
	// one that it was asked under.
	Moved struct {
		Ticket Ticket
		Owner  model.Member
		Epoch  model.Epoch
	}
	// NotTaken says that the call provably did nothing at the asked scheduler.
	NotTaken struct {
		Ticket Ticket
		// Overloaded says that a bounded queue was full.
		Overloaded bool
	}
	// Doubtful says that the call may have taken effect at the asked scheduler.
	Doubtful struct{ Ticket Ticket }
	// Woke says that a Sleep has ended.
	Woke struct{ Ticket Ticket }
	// Expired says that the caller stops waiting now.
	Expired struct{ Ticket Ticket }
)

func (Configured) event() {}
func (HostsSeen) event()  {}
func (Begin) event()      {}
func (Settled) event()    {}
func (Moved) event()      {}
func (NotTaken) event()   {}
func (Doubtful) event()   {}
func (Woke) event()       {}
func (Expired) event()    {}
