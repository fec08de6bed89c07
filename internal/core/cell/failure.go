package cell

import (
	"errors"

	"coltsfootmux/internal/external"
)

// Failure says how a call to a worker failed, if it did.
type Failure int

const (
	// FailureNone means that the worker answered.
	FailureNone Failure = iota
	// FailureNotExecuted means that the call was certainly not carried out.
	FailureNotExecuted
	// FailureNotSent means that this process did not send the call.
	FailureNotSent
	// FailureOutcomeUnknown means that the call may have been carried out or may still
	// be.
	FailureOutcomeUnknown
	// FailureFenced means that the worker knows a higher term.
	FailureFenced
	// FailureConnectionRefused means that nothing listens at the worker's address.
	FailureConnectionRefused
)

// FailureOf returns the Failure for an error of external.Workers.
func FailureOf(err error) Failure {
	switch {
	case err == nil:
		return FailureNone
	case errors.Is(err, external.ErrFenced):
		return FailureFenced
	case errors.Is(err, external.ErrConnectionRefused):
		return FailureConnectionRefused
	case errors.Is(err, external.ErrNotSent):
		return FailureNotSent
	case errors.Is(err, external.ErrNotExecuted):
		return FailureNotExecuted
	default:
		return FailureOutcomeUnknown
	}
}
