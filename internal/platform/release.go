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
	// Incarnation changes with each restart of the worker, which forgets all.
	Incarnation string `json:"incarnation"`
	// Since is how far back the worker's memory of leases reaches. A lease that
	// was first used longer ago may have run although Started is false.
	Since time.Duration `json:"since"`
}
