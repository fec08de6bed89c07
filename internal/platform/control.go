package platform

import "coltsfootmux/internal/model"

// Verb is what to do with a running task.
type Verb string

// The verbs.
const (
	VerbCheckpoint Verb = "checkpoint"
	VerbThrottle   Verb = "throttle"
	VerbStop       Verb = "stop"
)

// Control acts on a running task.
type Control struct {
	Lease model.LeaseID `json:"lease"`
	Cell  model.CellID  `json:"cell"`
	Epoch model.Epoch   `json:"epoch"`
	Verb  Verb          `json:"verb"`
}
