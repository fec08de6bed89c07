package logclient

import "github.com/rotisserie/eris"

// The errors of the package.
var (
	// ErrQueueFull means that too much waits for the stream; the record was not taken.
	ErrQueueFull = eris.New("too many records wait for the log")
	// ErrNotRecorded means that the record is not on the log and never will be.
	ErrNotRecorded = eris.New("not recorded")
	// ErrUnclear means that the record may be on the log, or come to be there.
	ErrUnclear = eris.New("may be recorded")
	// ErrRefused means that the log will not take the record.
	ErrRefused = eris.New("refused by the log")
	// ErrClosed means that the client has been closed; the record was not taken.
	ErrClosed = eris.New("log client closed")
)
