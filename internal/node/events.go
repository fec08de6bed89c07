package node

import (
	"log/slog"

	"coltsfootmux/internal/logevent"
)

var evDrainIncomplete = logevent.New(6000, slog.LevelWarn, "graceful shutdown did not complete")
