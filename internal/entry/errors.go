package entry

import "github.com/rotisserie/eris"

var (
	// ErrOptions means that a required option is missing.
	ErrOptions = eris.New("entry: options Pool, Configs and Hosts are required")
	// ErrDrain means that requests were still open at the end of the time to drain.
	ErrDrain = eris.New("entry: requests still open at the end of the drain")
)
