package scheduler

import "github.com/rotisserie/eris"

// The errors of this layer.
var (
	// ErrOptions means that the scheduler can't be built from its options.
	ErrOptions = eris.New("scheduler options")
	// ErrStopped means that the scheduler has stopped and took nothing on.
	ErrStopped = eris.New("scheduler stopped")
)
