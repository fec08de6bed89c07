package route

import "coltsfootmux/internal/model"

// owner is what the router knows about the owner of a key group.
type owner struct {
	// addr is empty if only the epoch is known.
	addr string
	// epoch is the highest epoch that an owner has reported. Calls carry it, so
	// that a call which arrives late, after a later owner has answered, is rejected.
	epoch model.Epoch
}
