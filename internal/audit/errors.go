package audit

import "github.com/rotisserie/eris"

// ErrFull means that too many entries wait for the log, so that none may be added.
var ErrFull = eris.New("too many audit entries wait for the log")
