package instance

import (
	"log/slog"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/fitness"
)

const (
	// reachInterval is how often an owner counts the workers that it reaches.
	reachInterval = 250 * time.Millisecond
	// reachReportInterval is the time between two reports while an owner reaches too few.
	reachReportInterval = 5 * time.Second
	// lateTick is how late a tick must come to be reported.
	lateTick = 500 * time.Millisecond
)

func init() {
	gauge("coltsfootmux_workers_tried", "workers", "workers of the owned cell that have answered lately or don't answer", func(i *Instance) float64 { return float64(i.cellReach().Tried) })
	gauge("coltsfootmux_workers_silent", "workers", "those of them that don't answer this owner", func(i *Instance) float64 { return float64(i.cellReach().Silent) })
	gauge("coltsfootmux_due_work_stood_seconds", "seconds", "how long the longest waiting ready task of the owned cell has had room on a worker", func(i *Instance) float64 { return i.cellDueWait().Seconds() })
	gauge("coltsfootmux_tick_delay_seconds", "seconds", "how late this process got its latest tick", func(i *Instance) float64 { return time.Duration(i.tickDelay.Load()).Seconds() })
}

// reachReport is what an owner has last reported of the workers that it reaches.
type reachReport struct {
	nextCheck  time.Duration
	nextReport time.Duration
	poor       bool
}

// cellReach returns how many workers the owner reaches, or none if no cell is owned.
func (i *Instance) cellReach() (r cell.Reach) {
	i.withCell(func(c *cell.Core) { r = c.Reach(boottime()) })
	return r
}

func (i *Instance) cellDueWait() (d time.Duration) {
	i.withCell(func(c *cell.Core) { d = c.DueWait(boottime()) })
	return d
}

// withCell calls f with the core of the owned cell, if there is one, under its lock.
func (i *Instance) withCell(f func(*cell.Core)) {
	o := i.owner.Load()
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core != nil {
		f(o.core)
	}
}

// checkReach counts the workers that the owner reaches, and logs when too many become silent, now
// and then while they are, and when they no longer are.
func (o *owner) checkReach() {
	now := boottime()
	if now < o.reach.nextCheck {
		return
	}
	o.reach.nextCheck = now + reachInterval
	r := o.inst.cellReach()
	o.stepFitness(fitness.Observed{Poor: r.Poor()})
	if poor := r.Poor(); poor != o.reach.poor || poor && now >= o.reach.nextReport {
		o.reach.poor, o.reach.nextReport = poor, now+reachReportInterval
		evReach.Log(o.ctx, o.inst.logger, slog.Int64("term", o.term), slog.Bool("few", poor), slog.Int("tried", r.Tried), slog.Int("silent", r.Silent),
			slog.Duration("due_work_stood", o.inst.cellDueWait()), slog.Duration("tick_delay", time.Duration(o.inst.tickDelay.Load())))
	}
}

// recordTick records how late a tick came that follows one at the time last.
func (i *Instance) recordTick(last, now time.Duration) {
	delay := max(0, now-last-tickInterval)
	i.tickDelay.Store(int64(delay))
	if delay >= lateTick {
		evTickLate.Log(i.ctx, i.logger, slog.Duration("delay", delay), slog.Int64("term", i.ownedTermNumber()))
	}
}
