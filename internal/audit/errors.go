package audit

import "github.com/rotisserie/eris"

// ErrFull means that an entry can't be added because too many wait for the log.
var ErrFull = eris.New("too many audit entries wait for the log")
