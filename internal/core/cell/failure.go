package cell

import (
	"errors"

	"coltsfootmux/internal/external"
)

// Failure says how a call to a worker failed.
type Failure int

// The ways in which a call fails. FailureOutcomeUnknown calls may be carried out yet.
const (
	FailureNone Failure = iota
	FailureNotExecuted
	FailureOutcomeUnknown
	FailureFenced
	// FailureConnectionRefused means that nobody listens at the worker's address.
	FailureConnectionRefused
)

// FailureOf says what an error of external.Workers means to a cell.
func FailureOf(err error) Failure {
	switch {
	case err == nil:
		return FailureNone
	case errors.Is(err, external.ErrFenced):
		return FailureFenced
	case errors.Is(err, external.ErrGone):
		return FailureConnectionRefused
	case errors.Is(err, external.ErrNotDone):
		return FailureNotExecuted
	default:
		return FailureOutcomeUnknown
	}
}
