package link

import (
	"github.com/rotisserie/eris"

	"coltsfootmux/internal/link/core"
)

var (
	// ErrNotExecuted means that the peer's handler certainly did not run.
	ErrNotExecuted = eris.New("call not executed")
	// ErrOutcomeUnknown means that the request was sent and its handler may have run.
	ErrOutcomeUnknown = eris.New("outcome of call unknown")
	// ErrRemote means that the peer's handler returned an error; the error is a *RemoteError.
	ErrRemote = eris.New("remote handler failed")
	// ErrOverloaded means that a bounded queue was full; the handler did not run.
	ErrOverloaded = eris.New("link overloaded")
	// errClosed is the cause of ErrNotSent after Pool.Close.
	errClosed = eris.New("pool is closed")
)

// callError returns the error of this package for a core.Failed action.
func callError(why core.FailureReason, text string) error {
	switch why {
	case core.NotExecuted:
		return eris.Wrap(ErrNotExecuted, text)
	case core.Overloaded:
		return eris.Wrap(ErrOverloaded, text)
	case core.HandlerFailed:
		return &RemoteError{Text: text}
	default:
		return eris.Wrap(ErrOutcomeUnknown, text)
	}
}
