package link

import (
	"log/slog"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/model"
)

// ServerOptions are the settings of a Server. Zero limits take the defaults.
type ServerOptions struct {
	Self   model.HostID
	Region model.Region
	// Logger may be nil.
	Logger *slog.Logger
	Limits core.Limits
	// MaxLinks is the most links at once; 0 for 1024.
	MaxLinks int
	// Budget bounds the bytes to other regions; nil for no bound.
	Budget *Budget
	// Secret, when set, must be shown by whoever opens a link.
	Secret string
}

// defaultLinks is the most links that a server holds unless it is told otherwise.
const defaultLinks = 1024
