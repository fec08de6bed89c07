package confsync

import "github.com/rotisserie/eris"

var (
	// ErrNotRecorded means that a change is not on the log and never will be.
	ErrNotRecorded = eris.New("change not recorded")
	// ErrPending means that a change may be on the log, or come to be there; the
	// same record id finds out.
	ErrPending = eris.New("change pending")
)
