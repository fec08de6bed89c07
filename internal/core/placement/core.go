package placement

import (
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// Core is the placement state machine of one scheduler. It is not safe for
// concurrent use.
type Core struct {
	self   model.HostID
	policy Policy
	now    time.Time
	out    []Action

	doc  *config.Versioned
	conf settings
	// fitsEmpty remembers the answers of possible under this configuration.
	fitsEmpty map[shapeKey]bool
	total     model.Shape
	cells     map[model.CellID]*cell
	order     []*cell
	// accelerators and slots index the cells by free room.
	accelerators *freeIndex
	slots        *freeIndex
	// window is where the next search for room to reclaim begins in order.
	window   int
	draining int
	workers  map[model.WorkerID]*worker
	accounts map[model.Account]*account
	kinds    map[kindKey]*runStats

	jobs   map[model.Key]*job
	tasks  map[model.LeaseID]*task
	queues map[demand]*queue
	// open are the queues of work that may run in any owned cell, byCell those
	// of work that is limited to some. Both may hold queues that are empty now.
	open   []*queue
	byCell map[model.CellID][]*queue
	// woken are the queues to be tried in the next pass, freed the cells.
	woken []*queue
	freed []*cell
	pass  uint64
	// look is the place in order of the cell looked at last, nextLook when the next is due.
	look     int
	nextLook time.Time
	seq      uint64
	timers   timerHeap
	// timersMost is how many timers there may be before dead ones are dropped.
	timersMost int
	waiting    int
	running    int
}

// New gives a core with the standard policy.
func New(self model.HostID) *Core { return NewWithPolicy(self, Standard()) }

// NewWithPolicy gives a core that decides by p.
func NewWithPolicy(self model.HostID, p Policy) *Core {
	return &Core{
		timersMost:   timersLeast,
		accelerators: newAcceleratorIndex(),
		slots:        newSlotIndex(),
		self:         self,
		policy:       p,
		conf:         defaultSettings(),
		cells:        make(map[model.CellID]*cell),
		workers:      make(map[model.WorkerID]*worker),
		accounts:     make(map[model.Account]*account),
		kinds:        make(map[kindKey]*runStats),
		jobs:         make(map[model.Key]*job),
		tasks:        make(map[model.LeaseID]*task),
		queues:       make(map[demand]*queue),
		fitsEmpty:    make(map[shapeKey]bool),
		byCell:       make(map[model.CellID][]*queue),
	}
}

// Step takes the time and one event and gives the actions to carry out, in order.
// An event of a type unknown to the core only lets time pass.
func (c *Core) Step(now time.Time, ev Event) []Action {
	if now.After(c.now) {
		c.now = now
	}
	c.out = nil
	c.apply(ev)
	c.fireTimers()
	c.schedule()
	c.consolidate()
	return c.out
}

func (c *Core) apply(ev Event) {
	switch e := ev.(type) {
	case Configured:
		c.configured(e)
	case CellGained:
		c.cellGained(e)
	case WorkerFound:
		for _, r := range e.Running {
			c.adopt(r)
		}
	case CellLost:
		c.cellLost(e)
	case Submitted:
		c.submitted(e)
	case Cancelled:
		c.cancelled(e)
	case Started:
		c.started(e)
	case BeginFailed:
		c.beginFailed(e)
	case Ended:
		c.ended(e)
	case WorkerSeen:
		c.workerSeen(e)
	case Used:
		c.usageSeen(e)
	case Tick:
	}
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

// Running gives how many pieces of work have started and not ended.
func (c *Core) Running() int { return c.running }

// Waiting gives how many pieces of work have not started.
func (c *Core) Waiting() int { return c.waiting }
