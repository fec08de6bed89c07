package node

import (
	"log/slog"

	"coltsfootmux/internal/logevent"
)

var evDrainCut = logevent.New(6000, slog.LevelWarn, "graceful shutdown cut short")
