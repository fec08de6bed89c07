package admission

import "time"

// ConnID identifies a connection of one listener.
type ConnID uint64

// Core holds the connections of one listener.
type Core struct {
	maxConns int
	conns    map[ConnID]entry
}

type entry struct {
	working bool
	// since is when it began to wait for its peer, or received the latest part of what it
	// waits for.
	since time.Duration
}

// New returns a core that holds at most maxConns connections.
func New(maxConns int) *Core {
	return &Core{maxConns: maxConns, conns: make(map[ConnID]entry)}
}

// Len returns the number of connections.
func (c *Core) Len() int { return len(c.conns) }

// Step processes an event and returns the resulting actions. now is a time since any fixed
// moment. Events of connections that are not held are ignored.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	if ev.Kind == Opened {
		return c.opened(now, ev.Conn)
	}
	e, ok := c.conns[ev.Conn]
	if !ok {
		return nil
	}
	switch ev.Kind {
	case Waiting:
		c.conns[ev.Conn] = entry{since: now}
	case Working:
		c.conns[ev.Conn] = entry{working: true}
	case Progressed:
		if !e.working {
			c.conns[ev.Conn] = entry{since: now}
		}
	case Closed:
		delete(c.conns, ev.Conn)
	}
	return nil
}

func (c *Core) opened(now time.Duration, id ConnID) []Action {
	if len(c.conns) < c.maxConns {
		c.conns[id] = entry{since: now}
		return nil
	}
	victim, ok := c.longestWaiting()
	if !ok {
		return []Action{{Kind: Refuse, Conn: id}}
	}
	delete(c.conns, victim)
	c.conns[id] = entry{since: now}
	return []Action{{Kind: Close, Conn: victim}}
}

// longestWaiting returns the connection that has waited the longest; of several, the first.
func (c *Core) longestWaiting() (longest ConnID, ok bool) {
	var since time.Duration
	for id, e := range c.conns {
		switch {
		case e.working:
		case !ok, e.since < since, e.since == since && id < longest:
			longest, since, ok = id, e.since, true
		}
	}
	return longest, ok
}
