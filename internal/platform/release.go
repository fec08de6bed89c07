package platform

import (
	"time"

	"coltsfootmux/internal/model"
)

// Release ends or bars a lease.
type Release struct {
	Lease model.LeaseID `json:"lease"`
	Scope model.Scope   `json:"scope"`
	Epoch model.Epoch   `json:"epoch"`
	// OnlyUnstarted leaves a started task alone and says so in the answer.
	OnlyUnstarted bool `json:"only_unstarted"`
}

// Released is the answer to a release.
type Released struct {
	// Started says that the lease's task was started at some time.
	Started bool `json:"started"`
	// Running says that it still runs (only with OnlyUnstarted).
	Running bool `json:"running"`
	// Ending is set when the task has ended.
	Ending *Ending `json:"ending,omitempty"`
	// Since is how long ago the worker's incarnation began. A lease of an earlier
	// one may have run although this one knows nothing of it.
	Since time.Duration `json:"since"`
}
