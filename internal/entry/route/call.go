package route

import (
	"time"

	"coltsfootmux/internal/model"
)

// call is the state of one call in progress.
type call struct {
	group    model.GroupID
	deadline time.Time
	// lastAddr is the scheduler that the call was sent to last, with lastEpoch.
	lastAddr  string
	lastEpoch model.Epoch
	// triedInRound holds the addresses that the call was sent to in this round.
	triedInRound map[string]bool
	// ownerHint is the address of the owner that the last scheduler named.
	ownerHint string
	// rounds counts the rounds that ended without an answer.
	rounds int
	// overloads counts the times that an overloaded scheduler rejected the call.
	overloads int
	// mayHaveExecuted is set once the outcome at some scheduler is unknown.
	mayHaveExecuted bool
}
