package link

import (
	"log/slog"

	"coltsfootmux/internal/logevent"
)

var (
	evOpened    = logevent.New(1000, slog.LevelDebug, "link opened")
	evClosed    = logevent.New(1001, slog.LevelDebug, "link closed")
	evCondemned = logevent.New(1002, slog.LevelWarn, "link condemned")
	evDial      = logevent.New(1003, slog.LevelInfo, "dial failed")
	evDialAgain = logevent.New(1005, slog.LevelDebug, "dial failed again")
	evRefused   = logevent.New(1004, slog.LevelWarn, "link refused")
)
