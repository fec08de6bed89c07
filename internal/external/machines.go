package external

import "context"

// UpkeepOrder starts the upkeep of a machine; everything that runs there ends.
type UpkeepOrder struct {
	Machine string
	Wave    int64
	// Holder names who orders, Fence its term.
	Holder       string
	FencingToken int64
}

// UpkeepResult is what became of an order.
type UpkeepResult int

// The results of an order.
const (
	// UpkeepBegun means that the machine has or had its upkeep.
	UpkeepBegun UpkeepResult = iota
	// UpkeepBusy means that the machine can't have it now.
	UpkeepBusy
	// UpkeepNotFound means that there is no such machine, or none of that wave.
	UpkeepNotFound
)

// Machines orders what happens to machines. Errors: ErrFenced, ErrNotDone, ErrUnclear.
type Machines interface {
	Upkeep(ctx context.Context, o UpkeepOrder) (UpkeepResult, error)
}
