package instance

import (
	"log/slog"

	"coltsfootmux/internal/core/cell"
)

func init() {
	gauge("coltsfootmux_worker_speed_ratio", "ratio", "how many times as long slow workers of a pool take as fast ones, 1 if not known", func(i *Instance) float64 { return i.workerSpeeds().Ratio })
	gauge("coltsfootmux_worker_speeds_known", "workers", "workers of the owned cell whose speed is known", func(i *Instance) float64 { return float64(i.workerSpeeds().Known) })
}

// workerSpeeds returns the speeds of the owned cell's workers, or none if none is owned.
func (i *Instance) workerSpeeds() cell.Speeds {
	o := i.owner.Load()
	if o == nil {
		return cell.Speeds{Ratio: 1}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core == nil {
		return cell.Speeds{Ratio: 1}
	}
	return o.core.Speeds()
}

// reportSpeed logs what the core reports of the workers' speeds.
func (o *owner) reportSpeed(a cell.Action) {
	l := o.inst.logger
	switch a := a.(type) {
	case cell.SpeedsDiffer:
		evSpeedsDiffer.Log(o.ctx, l, slog.String("pool", a.Pool), slog.Bool("used", a.Open), slog.Float64("ratio", a.Ratio),
			slog.Int("fast", a.Fast), slog.Int("slow", a.Slow), slog.Int("known", a.Known))
	case cell.WorkerSpeedLearned:
		evSpeedLearned.Log(o.ctx, l, slog.String("worker", string(a.Worker)), slog.Float64("factor", a.Factor),
			slog.Float64("error", a.Error), slog.Int("runs", a.Runs))
	}
}
