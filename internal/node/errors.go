package node

import "github.com/rotisserie/eris"

// ErrListen means that the program's listener could not be opened or has failed.
var ErrListen = eris.New("listener failed")
