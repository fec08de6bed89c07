package instance

import "github.com/rotisserie/eris"

var (
	// ErrNoPolicy means that no policy is known yet.
	ErrNoPolicy = eris.New("no policy known yet")
	// ErrNoRoute means that no queue takes the call.
	ErrNoRoute = eris.New("no such queue")
	// ErrUnknownKey means that the call's key belongs to no account.
	ErrUnknownKey = eris.New("unknown key")
	// ErrRefused means that a job was not accepted and never runs.
	ErrRefused = eris.New("not accepted")
	// ErrOutcomeUnknown means that it is not known whether a call was carried out.
	ErrOutcomeUnknown = eris.New("outcome not known")
	// ErrUnavailable means that the answer can't be had now; nothing was changed.
	ErrUnavailable = eris.New("not available now")
	// ErrNoJob means that no such job exists.
	ErrNoJob = eris.New("no such job")
)
