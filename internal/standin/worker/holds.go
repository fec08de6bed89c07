package worker

import (
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// hold is the right to start keyed work of a group on this worker under one epoch.
type hold struct {
	epoch   model.Epoch
	expires time.Time
	echo    uint64
}

// holds contains the worker's holds on key groups.
type holds struct {
	byGroup map[model.GroupID]hold
	echo    uint64
}

// restartShift keeps the echo numbers of successive incarnations apart.
const restartShift = 32

// newHolds derives the first echo number from the clock and the number of
// restarts, so that an echo from before a restart never matches one from after
// it, even if the clock did not advance in between.
func newHolds(now time.Time, restarts int) *holds {
	echo := uint64(now.UnixNano()) + uint64(restarts)<<restartShift
	return &holds{byGroup: make(map[model.GroupID]hold), echo: echo}
}

// acquire grants or renews a hold. The caller has checked that the epoch is not stale.
func (h *holds) acquire(req platform.Hold, now time.Time) (echo uint64, ok bool) {
	cur, held := h.byGroup[req.Group]
	held = held && now.Before(cur.expires)
	renewal := req.Echo != 0
	switch {
	case renewal && (!held || cur.epoch != req.Epoch || cur.echo != req.Echo):
		return h.renewalEcho(cur, held, req.Epoch), false
	case !renewal && held && cur.epoch == req.Epoch:
		// A second or delayed request for the same hold: granting it again would
		// extend the hold. The caller may renew it with the echo in this answer.
		return cur.echo, false
	}
	h.echo++
	h.byGroup[req.Group] = hold{epoch: req.Epoch, expires: now.Add(req.TTL), echo: h.echo}
	return h.echo, true
}

// renewalEcho returns the echo that a renewal under the epoch must carry, or 0 if
// there is no hold to renew.
func (h *holds) renewalEcho(cur hold, held bool, epoch model.Epoch) uint64 {
	if !held || cur.epoch != epoch {
		return 0
	}
	return cur.echo
}

// allows reports whether keyed work of the group may start under the epoch.
func (h *holds) allows(g model.GroupID, epoch model.Epoch, now time.Time) bool {
	cur, ok := h.byGroup[g]
	return ok && cur.epoch == epoch && now.Before(cur.expires)
}
