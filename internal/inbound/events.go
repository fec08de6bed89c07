package inbound

import (
	"log/slog"

	"coltsfootmux/internal/logevent"
	"coltsfootmux/internal/metric"
)

var (
	evConnsClosed  = logevent.New(4210, slog.LevelWarn, "connections closed: the listener holds its maximum number")
	evHeadsRefused = logevent.New(4211, slog.LevelWarn, "requests refused: their heads are beyond the limits")
)

var (
	closedConns  = metric.NewCounterVec("coltsfootmux_connections_closed_total", "connections", "listener", "connections closed for newer ones because the listener holds its maximum number")
	refusedConns = metric.NewCounterVec("coltsfootmux_connections_refused_total", "connections", "listener", "connections closed at once because requests are worked on in all that the listener may hold")
	refusedHeads = metric.NewCounterVec("coltsfootmux_heads_refused_total", "requests", "listener", "requests refused because their heads are beyond the limits")
)
