package platform

import (
	"time"

	"coltsfootmux/internal/model"
)

// EndState says how a task ended.
type EndState string

// The end states.
const (
	EndDone         EndState = "done"
	EndFailed       EndState = "failed"
	EndStopped      EndState = "stopped"
	EndCheckpointed EndState = "checkpointed"
	EndLapsed       EndState = "lapsed"
)

// Ending is how the task of a lease ended.
type Ending struct {
	Lease model.LeaseID `json:"lease"`
	Label Label         `json:"label"`
	State EndState      `json:"state"`
	// Ran is for how long it held its room.
	Ran time.Duration `json:"ran"`
	// Answer is the whole answer of a done or failed task, Sum its xxhash64.
	Answer []byte `json:"answer,omitempty"`
	Sum    uint64 `json:"sum"`
}
