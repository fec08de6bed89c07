package logclient

import "coltsfootmux/internal/model"

// FollowOption adds to what Follow does.
type FollowOption func(*followOptions)

type followOptions struct {
	reset    func(next model.Offset)
	caughtUp func(next model.Offset)
	keeper   *Keeper
}

// OnReset has f called when records expired before they were read. What was
// learned so far may be out of date; all that is kept follows from next on.
func OnReset(f func(next model.Offset)) FollowOption {
	return func(o *followOptions) { o.reset = f }
}

// OnCaughtUp has f called when all records below next have been handed on: at
// first, after a reset and after an outage.
func OnCaughtUp(f func(next model.Offset)) FollowOption {
	return func(o *followOptions) { o.caughtUp = f }
}

// WithKeeper tells a Keeper of the same stream what is on the log.
func WithKeeper(k *Keeper) FollowOption {
	return func(o *followOptions) { o.keeper = k }
}

func (o *followOptions) callReset(next model.Offset) {
	if o.reset != nil {
		o.reset(next)
	}
}

func (o *followOptions) callCaughtUp(next model.Offset) {
	if o.caughtUp != nil {
		o.caughtUp(next)
	}
}
