package ledger

import (
	"slices"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// MayBegin reports whether an attempt's starts may still be sent. The shell asks
// in the same step as it tells Begun.
func (c *Core) MayBegin(now time.Time, k model.Key, attempt int) bool {
	e := c.current(k, attempt)
	if e == nil || e.cancelled {
		return false
	}
	return (e.state == dispatched || e.state == sent) && c.held(now, c.group(e.group))
}

// Status tells where one key stands; false when the ledger knows nothing of it.
func (c *Core) Status(k model.Key) (wire.Status, bool) {
	e := c.keys[k]
	if e == nil {
		return wire.Status{}, false
	}
	return e.status(), true
}

// List gives up to limit of an account's work, newest first: work that has not
// ended, then the rest.
func (c *Core) List(account model.Account, limit int) []wire.Status {
	var out []wire.Status
	for _, from := range [][]*entry{c.live, c.ended} {
		for _, e := range slices.Backward(from) {
			if len(out) >= limit {
				return out
			}
			if e.account == account && e.state != dropped {
				out = append(out, e.status())
			}
		}
	}
	return out
}

func (e *entry) status() wire.Status {
	s := wire.Status{
		Key:     e.key,
		Account: e.account,
		Kind:    e.kind,
		Members: e.members,
		State:   wire.StateRunning,
	}
	switch e.state {
	case ended:
		r := e.result
		s.State, s.Result = wire.StateEnded, &r
	case waiting, dispatched:
		s.State = wire.StateWaiting
	case asking:
		s.StateReason = string(e.doubt)
	}
	return s
}
