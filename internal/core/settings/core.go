package settings

import (
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Core is the state machine of one reader. The zero value is not usable.
type Core struct {
	opts Options

	version config.Version
	doc     *config.Document
	current *config.Versioned
	// known says that version and doc are what the stream up to through leads
	// to. It is false before a start is found, and after records expired unread.
	known   bool
	through model.Offset
	// read is the last offset handed over since the last Opened or Seek.
	read   model.Offset
	oldest model.Offset
	head   model.Offset

	history []Accepted
	recent  []string

	snapshots due
	readiness readiness
}

// New makes a core that knows nothing yet.
func New(o Options) *Core {
	return &Core{opts: o.withDefaults()}
}

// Step takes one event and gives the actions that follow from it.
func (c *Core) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Opened:
		c.opened(ev.Oldest)
	case Read:
		return c.readEntry(ev.Entry)
	case Head:
		c.head = max(c.head, ev.Next-1)
		c.readiness.caughtUp = c.readiness.caughtUp || c.CaughtUp()
	case Offered:
		return c.offered(ev.Update)
	case Heard:
		c.readiness.heard(ev.Host, ev.Version)
	case Listed:
		c.readiness.listed(ev.Hosts)
	case Tick:
		return c.tick(now, ev.Rank)
	}
	return nil
}

// Current gives what is in force; nil before any version is.
func (c *Core) Current() *config.Versioned { return c.current }

// Known reports whether the version is what the stream leads to, as far as it was read.
func (c *Core) Known() bool { return c.known }

// Next gives the offset to read from; 0 while a place to start is not known and
// an Opened event is wanted.
func (c *Core) Next() model.Offset {
	if c.read == 0 && c.oldest == 0 {
		return 0
	}
	return c.read + 1
}

// Ready reports whether a version is in force that the log's head or a majority
// of the live own hosts has confirmed.
func (c *Core) Ready() bool {
	return c.version > 0 && c.known && c.readiness.confirmed(c.version)
}

// CaughtUp reports whether everything that the log was last seen to hold is taken in.
func (c *Core) CaughtUp() bool { return c.known && max(c.through, c.read) >= c.head }

func (c *Core) set(v config.Version, doc *config.Document) {
	c.version, c.doc = v, doc
	c.current = &config.Versioned{Version: v, Document: *doc}
}

// opened starts reading at the oldest record kept. Without a gap to what is
// already taken in, nothing changes.
func (c *Core) opened(oldest model.Offset) {
	c.oldest = oldest
	if c.known && c.through+1 >= oldest {
		c.read = max(c.read, oldest-1)
		return
	}
	c.read = oldest - 1
	// From the first record on, the history is whole.
	c.known = oldest <= 1 && c.version == 0
	if c.known {
		c.through = 0
	}
	c.readiness.caughtUp = false
}

func (c *Core) readEntry(e platform.Entry) []Action {
	if e.Offset <= c.read {
		return nil
	}
	c.read = e.Offset
	if e.Record.Type == TypeSnapshot {
		return c.readSnapshot(e)
	}
	return c.readChange(e)
}
