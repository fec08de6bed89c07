package logclient

import (
	"errors"

	"coltsfootmux/internal/core/journal"
	"coltsfootmux/internal/platform"
)

// failureOf says what an error of the log proves.
func failureOf(err error) journal.Failure {
	switch {
	case err == nil:
		return journal.FailNone
	case errors.Is(err, platform.ErrThrottled):
		return journal.FailThrottled
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrNotSent):
		return journal.FailNothing
	case errors.Is(err, platform.ErrRefused):
		return journal.FailRefused
	case errors.Is(err, platform.ErrExpired):
		return journal.FailExpired
	}
	return journal.FailUnclear
}

// nameOf gives the metric label of an append's result.
func nameOf(f journal.Failure) string {
	switch f {
	case journal.FailNone:
		return "ok"
	case journal.FailNothing:
		return "nothing"
	case journal.FailThrottled:
		return "throttled"
	case journal.FailRefused:
		return "refused"
	}
	return "unclear"
}
