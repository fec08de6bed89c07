package link

import (
	"github.com/rotisserie/eris"

	"coltsfootmux/internal/link/core"
)

var (
	// ErrNotExecuted means that the far side's handler was provably not run.
	ErrNotExecuted = eris.New("call not sent")
	// ErrOutcomeUnknown means that the request was sent and its fate is not known.
	ErrOutcomeUnknown = eris.New("call lost")
	// ErrRemote means that the far side's handler gave an error; the error is a *RemoteError.
	ErrRemote = eris.New("far side failed")
	// ErrOverloaded means that a bounded queue was full; the handler was not run.
	ErrOverloaded = eris.New("link overloaded")
	// errClosed is the cause of ErrNotSent after Pool.Close.
	errClosed = eris.New("pool is closed")
)

// callError turns what the core said into an error of this package.
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
