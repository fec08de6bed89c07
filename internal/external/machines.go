package external

import "context"

// UpkeepOrder starts the upkeep (planned maintenance) of a machine, which ends all
// tasks that run there.
type UpkeepOrder struct {
	Machine string
	Wave    int64
	// Holder names the process that sends the order.
	Holder string
	// FencingToken is the term under which the order is sent.
	FencingToken int64
}

// UpkeepResult is the result of an UpkeepOrder.
type UpkeepResult int

// The results of an order.
const (
	// UpkeepBegun means that the upkeep has begun, or is over already.
	UpkeepBegun UpkeepResult = iota
	// UpkeepBusy means that the upkeep can't begin now.
	UpkeepBusy
	// UpkeepNotFound means that there is no such machine, or that it is not part of
	// the wave.
	UpkeepNotFound
)

// UpkeepService carries out the upkeep of machines. Errors: ErrFenced,
// ErrNotExecuted, ErrOutcomeUnknown.
type UpkeepService interface {
	Upkeep(ctx context.Context, o UpkeepOrder) (UpkeepResult, error)
}
