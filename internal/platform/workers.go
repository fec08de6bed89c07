package platform

import (
	"context"

	"coltsfootmux/internal/model"
)

// Workers reaches every worker of the fleet by its configured address.
type Workers interface {
	// Dial gives the client of one worker; it does no I/O.
	Dial(w model.Worker) Worker
}

// Worker is one worker's task interface. Each call is safe to repeat: the
// worker tells a repeat by the ids that the asker chose. Errors wrap those of
// this package.
type Worker interface {
	// Fence raises the scope's epoch and says what the worker knows of it.
	Fence(ctx context.Context, f Fence) (Fenced, error)
	// Hold gives or renews the right to start keyed work, for several key groups
	// in one message. The answers come in the order asked.
	Hold(ctx context.Context, hs []Hold) ([]Held, error)
	// Grant leases room to the asker under an id of the asker's choice.
	Grant(ctx context.Context, g Grant) error
	// Start starts the one task of a lease.
	Start(ctx context.Context, s Start) error
	// Wait waits until the lease's task has ended and gives its ending.
	Wait(ctx context.Context, id model.LeaseID) (Ending, error)
	// Renew extends all of a cell's leases and reports what changed.
	Renew(ctx context.Context, r Renew) (Report, error)
	// Release ends a lease. A lease id that is not known is barred for good, so
	// that a late grant or start under it is refused.
	Release(ctx context.Context, r Release) (Released, error)
	// Control checkpoints, throttles or stops a task.
	Control(ctx context.Context, c Control) error
	// List gives the leases and recently ended tasks of a scope.
	List(ctx context.Context, scope model.Scope) (Listing, error)
}
