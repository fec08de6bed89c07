package ownership

import (
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Action is what a Core asks its shell to do.
type Action interface{ action() }

// AppendClaim asks for a claim to be written to the log under a record id.
type AppendClaim struct {
	ID    string
	Claim model.Claim
}

// Beat asks for a sign of life to a successor.
type Beat struct {
	To     model.Member
	Claims []model.Offset
}

// TellHandOver tells a successor that it may take a claim's scope over at once.
type TellHandOver struct {
	To    model.Member
	Claim model.Offset
}

// Fence asks a worker to refuse lower epochs.
type Fence struct {
	Scope  model.Scope
	Epoch  model.Epoch
	Worker model.Worker
}

// List asks a worker for what it knows of a scope.
type List struct {
	Scope  model.Scope
	Epoch  model.Epoch
	Worker model.Worker
}

// Hold asks a worker for a hold or its renewal.
type Hold struct {
	Scope  model.Scope
	Epoch  model.Epoch
	Worker model.Worker
	TTL    time.Duration
	Echo   uint64
	// Incarnation is the one that was fenced; the worker refuses under another.
	Incarnation string
}

// Gain says that the scope is owned under an epoch, and what was found there.
type Gain struct {
	Target Target
	Epoch  model.Epoch
	Found  []Scanned
	// Gap, for a key group, is the time before which work may have run at a
	// worker without trace; zero when the history is whole.
	Gap time.Time
	// Unbroken, for a key group, says that nobody else can have owned it since
	// this scheduler's last Suspend.
	Unbroken bool
}

// Scanned is what one worker knew.
type Scanned struct {
	Worker  model.Worker
	Listing platform.Listing
}

// Raise says that a cell is still owned, under a higher epoch. Every message
// from now on carries it; nothing that runs or waits is touched.
type Raise struct {
	Scope model.Scope
	Epoch model.Epoch
}

// Joined says that a worker of an owned scope was fenced and scanned late.
type Joined struct {
	Scope model.Scope
	Epoch model.Epoch
	Found Scanned
	// Gap is what is left of the gap given by Gain.
	Gap time.Time
}

// Suspend says that a key group's keyed starts must stop until the next Gain:
// its majority of holds has lapsed, or its epoch is being raised.
type Suspend struct{ Scope model.Scope }

// Lose says that the scope is no longer owned.
type Lose struct{ Scope model.Scope }

func (AppendClaim) action()  {}
func (Beat) action()         {}
func (TellHandOver) action() {}
func (Fence) action()        {}
func (List) action()         {}
func (Hold) action()         {}
func (Gain) action()         {}
func (Joined) action()       {}
func (Raise) action()        {}
func (Suspend) action()      {}
func (Lose) action()         {}
