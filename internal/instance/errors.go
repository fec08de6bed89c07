package instance

import (
	"github.com/rotisserie/eris"

	"coltsfootmux/internal/external"
)

var (
	// ErrNoPolicy means that no policy is known yet.
	ErrNoPolicy = eris.New("no policy known yet")
	// ErrNoRoute means that no queue matches the request.
	ErrNoRoute = eris.New("no such queue")
	// ErrUnknownKey means that the request's key belongs to no account.
	ErrUnknownKey = eris.New("unknown key")
	// ErrRefused means that a job or cancellation was refused and has no effect.
	ErrRefused = eris.New("request refused")
	// ErrCellFull means that a job was refused since the cell has no memory for it. It wraps
	// ErrRefused.
	ErrCellFull = eris.Wrap(ErrRefused, "the cell has no memory for the job")
	// ErrOverloaded means that a job was refused since the cell's owner has too little processor time to
	// start it. It wraps ErrRefused.
	ErrOverloaded = eris.Wrap(ErrRefused, "the cell's owner is overloaded")
	// ErrOutcomeUnknown means that it is not known whether a call was carried out.
	ErrOutcomeUnknown = eris.New("outcome unknown")
	// ErrUnavailable means that there is no answer now; nothing was changed.
	ErrUnavailable = eris.New("temporarily unavailable")
	// ErrNoJob means that no such job exists.
	ErrNoJob = eris.New("no such job")
	// errTermTooOld means that an order was not sent, as the term had not been confirmed for
	// too long; another instance may own the next one.
	errTermTooOld = eris.Wrap(external.ErrNotSent, "the term was not confirmed recently enough")
	// errGangTooLate means that an order was not sent, as the members of its gang that have started
	// would wait too long for it.
	errGangTooLate = eris.Wrap(external.ErrNotSent, "the start of the gang is too long ago")
)
