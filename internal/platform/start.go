package platform

import (
	"time"

	"coltsfootmux/internal/model"
)

// Start asks a worker to run the one task of a lease.
type Start struct {
	Lease model.LeaseID `json:"lease"`
	Cell  model.CellID  `json:"cell"`
	Epoch model.Epoch   `json:"epoch"`
	// Grant, when set, is taken first, which saves a round trip.
	Grant *Grant `json:"grant,omitempty"`
	// Keyed starts are refused unless the group's hold here is unexpired and
	// GroupEpoch is the one that holds it.
	Keyed      bool          `json:"keyed"`
	Group      model.GroupID `json:"group"`
	GroupEpoch model.Epoch   `json:"group_epoch"`
	// Within is how long after its sending the start is good, by the worker's
	// own clock from the request's arrival; 0 for no bound.
	Within time.Duration `json:"within"`
	Body   []byte        `json:"body"`
	// Incarnation, when set, is the one that the asker fenced. Another
	// incarnation refuses: it has forgotten whether the start ran before.
	Incarnation string `json:"incarnation"`
}
