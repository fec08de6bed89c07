package protocol

import (
	"errors"
	"net/http"

	"coltsfootmux/internal/platform"
)

// Code is the stable code of a problem.
type Code string

// The codes.
const (
	CodeStaleEpoch  Code = "stale_epoch"
	CodeRefused     Code = "refused"
	CodeNotFound    Code = "not_found"
	CodeExpired     Code = "expired"
	CodeUnavailable Code = "unavailable"
	CodeThrottled   Code = "throttled"
	CodeUnclear     Code = "unclear"
	CodeBadRequest  Code = "bad_request"
	CodeTooLarge    Code = "too_large"
)

// kind ties a code to its status and to the platform error it stands for.
type kind struct {
	code   Code
	status int
	err    error
}

// kinds is searched in order: the first entry for an error gives its code.
var kinds = []kind{
	{CodeStaleEpoch, http.StatusConflict, platform.ErrStaleEpoch},
	{CodeRefused, http.StatusUnprocessableEntity, platform.ErrRefused},
	{CodeNotFound, http.StatusNotFound, platform.ErrNotFound},
	{CodeExpired, http.StatusGone, platform.ErrExpired},
	{CodeThrottled, http.StatusTooManyRequests, platform.ErrThrottled},
	{CodeUnavailable, http.StatusServiceUnavailable, platform.ErrUnavailable},
	{CodeUnclear, http.StatusInternalServerError, platform.ErrUnclear},
	{CodeBadRequest, http.StatusBadRequest, platform.ErrRefused},
	{CodeTooLarge, http.StatusRequestEntityTooLarge, platform.ErrRefused},
}

func kindOf(err error) kind {
	for _, k := range kinds {
		if errors.Is(err, k.err) {
			return k
		}
	}
	return kind{CodeUnclear, http.StatusInternalServerError, platform.ErrUnclear}
}

func kindFor(c Code) (kind, bool) {
	for _, k := range kinds {
		if k.code == c {
			return k, true
		}
	}
	return kind{}, false
}
