package settings

import (
	"slices"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// maxReread is how many records are read again for their rulings after a
// snapshot went beyond them.
const maxReread = 1024

// readSnapshot starts from a snapshot, or notes that the stream has a newer one.
func (c *Core) readSnapshot(e platform.Entry) []Action {
	s, err := DecodeSnapshot(e.Record.Data)
	if err != nil {
		c.advance(e.Offset)
		return nil
	}
	c.snapshots.saved(e.At)
	if c.known {
		c.advance(e.Offset)
		return nil
	}
	// Records between the snapshot and its own place must be read again, and
	// must still be there; a version in force never falls.
	if s.Through+1 < c.oldest || s.Version < c.version {
		return nil
	}
	return c.start(s)
}

// offered takes in an update from another host.
func (c *Core) offered(u *Update) []Action {
	if s := u.Snapshot; s != nil {
		if s.Version < c.version || s.Version == c.version && c.known || s.Through+1 < c.oldest {
			return nil
		}
		return c.start(s)
	}
	var out []Action
	for _, a := range u.Records {
		if c.version > 0 && a.Version == c.version+1 {
			out = append(out, c.take(a)...)
		}
	}
	return out
}

// take installs a record that another host has ruled on. A version is one
// document everywhere, so this is right also while records are missing here.
func (c *Core) take(a Accepted) []Action {
	doc, err := Apply(c.doc, a.Record.Change)
	if err != nil {
		return nil
	}
	v := Verdict{
		Offset: a.Offset, At: a.Record.At, Record: &a.Record, Ruling: RulingAccepted,
		Version: a.Version, Before: c.doc, After: doc,
	}
	c.advance(a.Offset)
	c.install(doc, a)
	out := []Action{Judge{v}, Install{c.current}}
	if !c.known && a.Offset+1 >= c.oldest {
		c.known, c.through = true, a.Offset
		out = append(out, c.readFrom(a.Offset)...)
	}
	return out
}

// start takes over the state of a snapshot and reads on behind it.
func (c *Core) start(s *Snapshot) []Action {
	risen := s.Version > c.version
	c.known = true
	c.through = s.Through
	c.set(s.Version, s.Document.Canonical())
	c.recent = slices.Clone(s.Recent)
	c.history = nil
	var out []Action
	if risen {
		out = append(out, Install{c.current})
	}
	if c.oldest > 0 && c.read < c.through && c.through-c.read <= maxReread {
		// Read on from here, so that rulings on the records between come about.
		return out
	}
	return append(out, c.readFrom(c.through)...)
}

// Accepted tells whether a record is among the last accepted ones, and which
// version it became.
func (c *Core) Accepted(id string) (config.Version, bool) {
	i := slices.Index(c.recent, id)
	if i < 0 {
		return 0, false
	}
	return c.version - config.Version(len(c.recent)-1-i), true
}

// readFrom goes on reading behind an offset.
func (c *Core) readFrom(o model.Offset) []Action {
	if c.read == o {
		return nil
	}
	c.read = o
	return []Action{Seek{o + 1}}
}

// Since gives the update that brings a host from a version to the current one;
// nil when there is nothing newer here. Version 0 stands for a host that lacks a
// start, and always gets a snapshot.
func (c *Core) Since(v config.Version) *Update {
	if v >= c.version || !c.known {
		return nil
	}
	for i, a := range c.history {
		if v > 0 && a.Version == v+1 {
			return &Update{Records: slices.Clone(c.history[i:])}
		}
	}
	return &Update{Snapshot: c.Snapshot()}
}

// Snapshot gives the whole state as it is now; nil before there is one.
func (c *Core) Snapshot() *Snapshot {
	if !c.known || c.version == 0 {
		return nil
	}
	return &Snapshot{Version: c.version, Through: c.through, Document: c.doc, Recent: slices.Clone(c.recent)}
}
