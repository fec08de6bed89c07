package confsync

import "github.com/rotisserie/eris"

var (
	// ErrNotRecorded means that a change was not and will not be appended to the log.
	ErrNotRecorded = eris.New("change not recorded")
	// ErrPending means that a change may be on the log or may still be appended to
	// it. Publishing again with the same record id gives the outcome.
	ErrPending = eris.New("change pending")
)
