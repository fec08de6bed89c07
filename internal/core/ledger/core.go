package ledger

import (
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/mapping"
	"coltsfootmux/internal/model"
)

// The bounds of one ledger.
const (
	// askEvery is the time between two questions about one trace.
	askEvery = time.Second
	// askGrace is how long past its deadline sent work is asked about.
	askGrace = time.Second
	// retryBase is the first backoff of idempotent work; each next one doubles.
	retryBase = 50 * time.Millisecond
	// maxEndedKeys and maxEndedBytes bound the outcomes kept in memory. An
	// outcome that has to go leaves a gap in its group's history.
	maxEndedKeys  = 200_000
	maxEndedBytes = 32 << 20
)

// Core is the request ledger of one scheduler.
type Core struct {
	self   model.HostID
	holds  Holds
	cfg    *config.Versioned
	routes *mapping.Mapping
	groups map[model.GroupID]*group
	keys   map[model.Key]*entry
	// live holds the entries without a final outcome in the order they came.
	live []*entry
	// ended holds the others, oldest first; bytes is their answers' size.
	ended     []*entry
	bytes     int
	keepKeys  int
	keepBytes int
	// last holds the latest attempt's number of keys that were forgotten.
	last       map[model.Key]int
	out        []Action
	liveChange bool
}

// Holds tells whether keyed work of a group may be started at a moment. The
// ownership core does.
type Holds interface {
	MayStart(now time.Time, g model.GroupID) (model.Epoch, bool)
}

// Watch makes the ledger ask for the holds whenever it decides. Without it, it
// relies on HoldsLapsed coming in time, which a pause of the process prevents.
func (c *Core) Watch(h Holds) { c.holds = h }

// held says that keyed work of a group may start, and that a not_run is ours to say.
func (c *Core) held(now time.Time, g *group) bool {
	if !g.held || c.holds == nil {
		return g.held
	}
	_, ok := c.holds.MayStart(now, g.id)
	return ok
}

// group is a key group that this scheduler owns or has owned.
type group struct {
	id    model.GroupID
	owned bool
	// held says that the group was gained, and not suspended since.
	held  bool
	epoch model.Epoch
	gap   time.Time
}

// New makes a Core that owns nothing.
func New(self model.HostID) *Core {
	return &Core{
		self:      self,
		groups:    make(map[model.GroupID]*group),
		keys:      make(map[model.Key]*entry),
		last:      make(map[model.Key]int),
		keepKeys:  maxEndedKeys,
		keepBytes: maxEndedBytes,
	}
}

// Step takes one event in. The actions are to be carried out in their order.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.out = nil
	switch e := ev.(type) {
	case Configured:
		c.configured(e)
	case GroupGained:
		c.groupGained(now, e)
	case WorkerJoined:
		c.workerJoined(now, e)
	case GroupLost:
		c.groupLost(e)
	case HoldsLapsed:
		c.group(e.Group).held = false
	case Accepted:
		c.accepted(now, e)
	case Submitted:
		c.submitted(now, e)
	case WaiterGone:
		c.waiterGone(e)
	case Begun:
		c.begun(now, e)
	case Answered:
		c.answered(now, e)
	case NotRun:
		c.notRun(now, e)
	case Unclear:
		c.unclear(now, e)
	case Settled:
		c.settled(now, e)
	case Cancelled:
		c.cancelled(now, e)
	case Tick:
		c.tick(now)
	}
	c.sweep()
	return c.out
}

func (c *Core) do(a Action) { c.out = append(c.out, a) }

func (c *Core) configured(e Configured) {
	c.cfg = e.Config
	c.routes = c.routes.For(e.Config.Document.Fleet)
}

func (c *Core) defaults() config.Defaults { return c.cfg.Document.Defaults }

func (c *Core) group(id model.GroupID) *group {
	g := c.groups[id]
	if g == nil {
		g = &group{id: id}
		c.groups[id] = g
	}
	return g
}

// sweep takes ended entries out of the live ones.
func (c *Core) sweep() {
	if !c.liveChange {
		return
	}
	c.liveChange = false
	keep := c.live[:0]
	for _, e := range c.live {
		if e.live() {
			keep = append(keep, e)
		}
	}
	clear(c.live[len(keep):])
	c.live = keep
}
