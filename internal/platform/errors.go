package platform

import "github.com/rotisserie/eris"

// The errors that every binding turns its own into.
var (
	// ErrStaleEpoch means that the far side has seen a higher epoch for the scope.
	ErrStaleEpoch = eris.New("stale epoch")
	// ErrRefused means that the far side answered and did nothing.
	ErrRefused = eris.New("refused")
	// ErrNotSent means that the call never left this process: nothing happened.
	ErrNotSent = eris.New("not sent")
	// ErrUnclear means that the call may have taken effect.
	ErrUnclear = eris.New("outcome unclear")
	// ErrUnavailable means that the service said it can't serve now and did nothing.
	ErrUnavailable = eris.New("unavailable")
	// ErrThrottled is an ErrUnavailable for a cap on the rate of calls: the
	// service is well, and the caller should call less often.
	ErrThrottled = eris.Wrap(ErrUnavailable, "over the cap on calls")
	// ErrNotFound means that the far side knows of no such lease or record.
	ErrNotFound = eris.New("not found")
	// ErrExpired means that the offset asked for is older than what is retained.
	ErrExpired = eris.New("records expired")
)
