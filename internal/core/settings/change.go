package settings

import (
	"fmt"
	"slices"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// readChange rules on a record that asks for a new version.
func (c *Core) readChange(e platform.Entry) []Action {
	v := Verdict{Offset: e.Offset, At: e.At, Version: c.version}
	rec, err := decodeChange(e.Record)
	if err != nil {
		return c.reject(v, RulingRefused, err.Error())
	}
	v.Record = rec
	if slices.Contains(c.recent, rec.ID) {
		c.advance(e.Offset)
		return nil
	}
	switch {
	case rec.Force:
		return c.force(v, rec)
	case !c.known:
		return nil
	case c.through >= e.Offset:
		return c.rejectDecided(v)
	case rec.Base != c.version:
		why := fmt.Sprintf("based on version %d while version %d was in force", rec.Base, c.version)
		return c.reject(v, RulingConflict, why)
	}
	return c.accept(v, rec, c.version+1)
}

// force puts a whole document on top of any version up to the record's base.
func (c *Core) force(v Verdict, rec *Record) []Action {
	if rec.Change.Document == nil {
		return c.reject(v, RulingRefused, "only a whole document can be forced")
	}
	if rec.Base < c.version || c.known && c.through >= v.Offset {
		why := fmt.Sprintf("forced over version %d while version %d was in force", rec.Base, c.version)
		return c.reject(v, RulingConflict, why)
	}
	return c.accept(v, rec, rec.Base+1)
}

// rejectDecided rules on a record that an update from another host took in
// already, and that is not among the last accepted ones. One whose version would
// be older than those may have been accepted; there is no ruling on it here.
func (c *Core) rejectDecided(v Verdict) []Action {
	if v.Record.Base+config.Version(len(c.recent)) < c.version {
		return nil
	}
	return c.reject(v, RulingConflict, "another change went first")
}

func decodeChange(r platform.Record) (*Record, error) {
	if r.Type != TypeChange {
		return nil, fmt.Errorf("%w: unknown record type %q", ErrDecode, r.Type)
	}
	return DecodeRecord(r.Data)
}

func (c *Core) reject(v Verdict, ruling Ruling, why string) []Action {
	if !c.known {
		return nil
	}
	c.advance(v.Offset)
	v.Ruling, v.Why = ruling, why
	return []Action{Judge{v}}
}

func (c *Core) accept(v Verdict, rec *Record, version config.Version) []Action {
	doc, err := Apply(c.doc, rec.Change)
	if err != nil {
		return c.reject(v, RulingRefused, err.Error())
	}
	v.Before, v.After = c.doc, doc
	v.Ruling, v.Version = RulingAccepted, version
	c.known = true
	c.advance(v.Offset)
	c.install(doc, Accepted{Version: version, Offset: v.Offset, Record: *rec})
	c.snapshots.recorded(v.At)
	return []Action{Judge{v}, Install{c.current}}
}

// advance notes that everything up to an offset is taken in.
func (c *Core) advance(o model.Offset) {
	if c.known {
		c.through = max(c.through, o)
	}
}

// install puts a version into force and remembers its record.
func (c *Core) install(doc *config.Document, a Accepted) {
	if len(c.history) > 0 && c.history[len(c.history)-1].Version+1 != a.Version {
		c.history = nil
	}
	c.set(a.Version, doc)
	c.history = keepLast(append(c.history, a), c.opts.History)
	c.recent = keepLast(append(c.recent, a.Record.ID), c.opts.History)
}

// keepLast drops the oldest items beyond n, in a fresh list now and then so that
// dropped ones can be freed.
func keepLast[T any](list []T, n int) []T {
	if len(list) <= n {
		return list
	}
	return slices.Clone(list[len(list)-n:])
}
