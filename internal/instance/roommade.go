package instance

import (
	"log/slog"
	"math"

	"coltsfootmux/internal/core/cell"
)

// reportRoomMade logs and counts what room for an urgent unit has cost.
func (o *owner) reportRoomMade(a cell.RoomMade) {
	mPreemptedWork.Add(int(math.Round(a.CoreSeconds)))
	mPreemptionsAvoided.Add(a.Avoided)
	evRoomMade.Log(o.ctx, o.inst.logger, slog.String("job", string(a.Job)), slog.Int("victims", a.Victims),
		slog.Float64("core_seconds", a.CoreSeconds), slog.Int("awaited", a.Awaited), slog.Int("avoided", a.Avoided), slog.Duration("wait", a.Wait))
}
