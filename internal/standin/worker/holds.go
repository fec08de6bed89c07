package worker

import (
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// hold is the right of one epoch to start keyed work of a group here.
type hold struct {
	epoch model.Epoch
	until time.Time
	echo  uint64
}

// holds keeps the holds on key groups.
type holds struct {
	byGroup map[model.GroupID]hold
	echo    uint64
}

// restartShift sets the echo numbers of successive restarts apart.
const restartShift = 32

// newHolds starts the echo numbers from the clock and the count of restarts, so
// that a number from before a restart never matches one from after it, also
// when the restart takes no time.
func newHolds(now time.Time, restarts int) *holds {
	echo := uint64(now.UnixNano()) + uint64(restarts)<<restartShift
	return &holds{byGroup: make(map[model.GroupID]hold), echo: echo}
}

// ask gives or renews a hold; the epoch has been found not to be stale.
func (h *holds) ask(req platform.Hold, now time.Time) (echo uint64, ok bool) {
	cur, held := h.byGroup[req.Group]
	held = held && now.Before(cur.until)
	renewal := req.Echo != 0
	switch {
	case renewal && (!held || cur.epoch != req.Epoch || cur.echo != req.Echo):
		return h.current(cur, held, req.Epoch), false
	case !renewal && held && cur.epoch == req.Epoch:
		// A second request for the hold, or a delayed one: giving it afresh would
		// stretch the hold. The asker may renew it by the number in this answer.
		return cur.echo, false
	}
	h.echo++
	h.byGroup[req.Group] = hold{epoch: req.Epoch, until: now.Add(req.TTL), echo: h.echo}
	return h.echo, true
}

// current gives the number that a renewal under the epoch must carry, 0 when
// there is no hold to renew.
func (h *holds) current(cur hold, held bool, epoch model.Epoch) uint64 {
	if !held || cur.epoch != epoch {
		return 0
	}
	return cur.echo
}

// allows reports whether keyed work of the group may start under the epoch.
func (h *holds) allows(g model.GroupID, epoch model.Epoch, now time.Time) bool {
	cur, ok := h.byGroup[g]
	return ok && cur.epoch == epoch && now.Before(cur.until)
}
