package logclient

import (
	"log/slog"

	"coltsfootmux/internal/logevent"
)

var (
	evUnavailable = logevent.New(4000, slog.LevelWarn, "log service does not answer")
	evAvailable   = logevent.New(4001, slog.LevelInfo, "log service answers again")
	evRefused     = logevent.New(4002, slog.LevelError, "log service refused a record")
	evReset       = logevent.New(4003, slog.LevelWarn, "records expired before they were read")
	evQueueFull   = logevent.New(4004, slog.LevelWarn, "too many records wait for the log service")
	evUnclear     = logevent.New(4005, slog.LevelInfo, "answer to an append lost, reading the tail")
)
