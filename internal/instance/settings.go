package instance

import (
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/term"
)

// Settings are what an instance needs to know of itself and of its bounds.
type Settings struct {
	// Name is the machine's name; Life names this start of the process.
	Name        string
	Incarnation string
	Zone        string
	// Region of the machine, for the byte counts of links.
	Region string
	// LinkAddr is where peers reach this instance.
	LinkAddr string
	// Peers are addresses of some other instances; they may be stale.
	Peers []string
	Term  term.Settings
	Cell  cell.Settings
	// UpkeepDuration is how long a machine's upkeep takes.
	UpkeepDuration time.Duration
}

// Times of calls. A caller's own deadline goes first where it is shorter.
const (
	// persistRetry lies between two appends of the same progress.
	persistRetry = 150 * time.Millisecond
	// orderTime bounds a start or stop at a worker.
	orderTime = 700 * time.Millisecond
	// adviceTime bounds a question to the adviser, which may queue behind others.
	adviceTime = 4 * time.Second
	// peerTime bounds a call to another instance.
	peerTime = 600 * time.Millisecond
	// holdTime bounds a hold beyond its wait.
	holdTime = 700 * time.Millisecond
	// tickEvery is how often time is passed to the cores.
	tickEvery = 50 * time.Millisecond
	// pauseNoticed is a time without any step, several ticks long, after which the
	// process must have been standing still.
	pauseNoticed = 500 * time.Millisecond
	// workersPace is the least time between two reads of the workers' list.
	workersPace = 250 * time.Millisecond
	// freshJobs is how old the owner's last read of submissions may be for it to
	// say that a job does not exist.
	freshJobs = 2500 * time.Millisecond
	// policyAge is the age of the last read of the policy from which on peers
	// are asked for a newer one.
	policyAge = 800 * time.Millisecond
)
