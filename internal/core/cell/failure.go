package cell

import (
	"errors"

	"coltsfootmux/internal/external"
)

// Failure says how a call to a worker failed.
type Failure int

// The ways in which a call fails. FailureUnclear calls may be carried out yet.
const (
	FailureNone Failure = iota
	FailureNotReached
	FailureUnclear
	FailureFenced
	// FailureGone means that nobody listens at the worker's address.
	FailureGone
)

// FailureOf says what an error of external.Workers means to a cell.
func FailureOf(err error) Failure {
	switch {
	case err == nil:
		return FailureNone
	case errors.Is(err, external.ErrFenced):
		return FailureFenced
	case errors.Is(err, external.ErrConnectionRefused):
		return FailureGone
	case errors.Is(err, external.ErrNotExecuted):
		return FailureNotReached
	default:
		return FailureUnclear
	}
}
