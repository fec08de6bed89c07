package route

import (
	"time"

	"coltsfootmux/internal/model"
)

// call is one call about a key under way.
type call struct {
	group model.GroupID
	until time.Time
	// asked is the address asked last; tried holds those asked in this round.
	asked string
	// epoch is the one that it was asked under.
	epoch model.Epoch
	tried map[string]bool
	// hint is who the last asked scheduler named.
	hint string
	// rounds counts the rounds that ended without an answer.
	rounds    int
	overloads int
	// doubt says that some scheduler may have taken the call.
	doubt bool
}
