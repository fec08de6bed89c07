package link

import (
	"log/slog"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/model"
)

// ServerOptions are the settings of a Server. Zero limits are replaced by the defaults.
type ServerOptions struct {
	// Self and Region identify this process to its peers.
	Self   model.HostID
	Region model.Region
	// Logger may be nil.
	Logger *slog.Logger
	Limits core.Limits
	// MaxLinks bounds the links that are open at the same time; 0 means 1024.
	MaxLinks int
	// MemoryBytes bounds what the calls of all links hold: requests until they are handled and
	// answers until they are sent. 0 means 32 MiB.
	MemoryBytes int
	// Budget limits the rate of bytes sent to other regions; nil means no limit.
	Budget *Budget
	// Secret, if set, is the bearer token that must be sent to open a link.
	Secret string
}

// defaultMaxLinks is the MaxLinks of a server whose options set none.
const defaultMaxLinks = 1024
