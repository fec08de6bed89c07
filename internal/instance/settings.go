package instance

import (
	"time"

	"coltsfootmux/internal/core/capacity"
	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
)

// Settings are the identity, addresses and limits of an instance.
type Settings struct {
	// Name is the machine's name; Incarnation names this start of the process, as NAME/START.
	Name        string
	Incarnation string
	Zone        string
	// Region is the machine's region.
	Region string
	// Relay says that the machine can pass the policy on to others of its region.
	Relay bool
	// Machine is what the process may use of its machine.
	Machine capacity.Machine
	// LinkAddr is the address at which peers reach this instance.
	LinkAddr string
	// MemoryLimited says that the memory limit of the Go runtime is set for this process.
	MemoryLimited bool
	// LinkMemoryBytes bounds what the calls of links from peers hold; 0 means 32 MiB.
	LinkMemoryBytes int
	// Peers are the addresses of some other instances; they may be out of date.
	Peers []string
	Term  term.Settings
	Cell  cell.Settings
	// Store holds the largest sizes that the store takes.
	Store external.StoreLimits
	// UpkeepDuration is how long the upkeep of a machine takes.
	UpkeepDuration time.Duration
}

// Timeouts and intervals. A caller's own deadline applies where it is shorter.
const (
	// persistRetryDelay is the delay before a failed append of progress is repeated.
	persistRetryDelay = 150 * time.Millisecond
	// orderTimeout bounds an order to a worker.
	orderTimeout = 700 * time.Millisecond
	// adviceTimeout bounds a request to the advice service, which may queue it behind
	// others.
	adviceTimeout = 4 * time.Second
	// peerTimeout bounds a call to another instance.
	peerTimeout = 600 * time.Millisecond
	// holdTimeout bounds a hold in addition to its wait.
	holdTimeout = 700 * time.Millisecond
	// tickInterval is how often the time is passed to the cores.
	tickInterval = 50 * time.Millisecond
	// pauseThreshold is a time without any step, several ticks long, after which the
	// whole process must have been paused.
	pauseThreshold = 500 * time.Millisecond
	// workersReadInterval is the least time between two reads of the list of workers.
	workersReadInterval = 250 * time.Millisecond
	// jobsReadMaxAge is how old the owner's last read of submissions may be for it to
	// say that a job does not exist.
	jobsReadMaxAge = 2500 * time.Millisecond
	// policyMaxAge is the age of the last read of the policy, beyond readWait, from which
	// on peers are asked for a newer one.
	policyMaxAge = 800 * time.Millisecond
)
