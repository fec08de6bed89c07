package route

import "coltsfootmux/internal/model"

// owner is what is known of a key group's owner.
type owner struct {
	// addr is empty when only the epoch is known.
	addr string
	// epoch is the highest that was heard of. Work is offered under it, so that
	// an offer that is delayed past another owner's answer is no good any more.
	epoch model.Epoch
}
