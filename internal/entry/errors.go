package entry

import "github.com/rotisserie/eris"

var (
	// ErrOptions means that New was called without a part that it needs.
	ErrOptions = eris.New("entry: pool, configs and hosts are required")
	// ErrDrain means that requests were still open when the time to drain ran out.
	ErrDrain = eris.New("entry: requests still open")
)
