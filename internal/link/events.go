package link

import (
	"log/slog"

	"coltsfootmux/internal/logevent"
)

var (
	evOpened       = logevent.New(1000, slog.LevelDebug, "link opened")
	evClosed       = logevent.New(1001, slog.LevelDebug, "link closed")
	evFailed       = logevent.New(1002, slog.LevelWarn, "link failed")
	evDialFailed   = logevent.New(1003, slog.LevelInfo, "dial failed")
	evRedialFailed = logevent.New(1005, slog.LevelDebug, "dial failed again")
	evRefused      = logevent.New(1004, slog.LevelWarn, "link refused")
	evMemoryDenied = logevent.New(1020, slog.LevelWarn, "calls of links without memory")
	evEvicted      = logevent.New(1021, slog.LevelWarn, "link closed because others needed its memory")
)
