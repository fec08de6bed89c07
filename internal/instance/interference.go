package instance

import (
	"log/slog"

	"coltsfootmux/internal/core/cell"
)

// reportPair logs that tasks were found to slow each other down, or no longer do.
func (o *owner) reportPair(a cell.PairChanged) {
	ev := evPairForgotten
	if a.Named {
		ev = evPairNamed
	}
	ev.Log(o.ctx, o.inst.logger, slog.String("victim", a.Victim), slog.String("neighbour", a.Neighbour),
		slog.Float64("slowdown", a.Slowdown), slog.Float64("error", a.Error),
		slog.Float64("with", a.With), slog.Float64("without", a.Without))
}
