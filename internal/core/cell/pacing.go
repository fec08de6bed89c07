package cell

import (
	"time"

	"coltsfootmux/internal/external"
)

// Pacing keeps the tail latency of serving tasks below its target on workers that
// also run fillers, tasks that use spare CPU: fillers are stopped as soon as a
// latency exceeds its target, and sped up again in steps once all latencies on the
// worker are well below.
const (
	// paceHeadroomShare is the share of its target below which a latency leaves
	// enough headroom to speed fillers up.
	paceHeadroomShare = 0.7
	// paceStepPercent is by how much a filler is sped up at a time.
	paceStepPercent = 25
	// paceInterval is the least time between two steps up of a filler, and between
	// repeated orders to stop it.
	paceInterval = 1200 * time.Millisecond
	// maxMixedHoldWait is how long a worker with serving tasks and fillers may delay
	// its answer to a hold.
	maxMixedHoldWait = 500 * time.Millisecond
	// fullPace is the pace of an unrestricted run, in percent.
	fullPace = 100
)

// Pace orders a worker to limit a run to a percentage of its full speed.
type Pace struct{ Order external.PaceOrder }

func (Pace) action() {}

// pace adjusts the pace of a worker's fillers to the latencies that its lists show.
func (c *Core) pace(w *worker) {
	if !w.hasMixedLoad() {
		return
	}
	overTarget, headroom := false, true
	for _, r := range w.runs {
		if r.unit == nil || r.unit.group.step.LatencyTargetMS == 0 || r.state != runRunning {
			continue
		}
		target := float64(r.unit.group.step.LatencyTargetMS)
		overTarget = overTarget || float64(r.measurement) > target
		headroom = headroom && float64(r.measurement) < paceHeadroomShare*target
	}
	for _, r := range w.runs {
		if r.unit != nil && r.unit.group.step.BestEffortCPU && r.state == runRunning {
			c.paceRun(r, overTarget, headroom)
		}
	}
}

// paceRun sets the pace of a filler. overTarget says that some latency exceeds its
// target, headroom that all are well below.
func (c *Core) paceRun(r *run, overTarget, headroom bool) {
	want := r.pace
	switch {
	case overTarget:
		want = 0
	case headroom && r.pace < fullPace && c.now.Mono-r.paceSetAt > paceInterval:
		want = min(r.pace+paceStepPercent, fullPace)
	}
	if want == r.pace && (overTarget && c.now.Mono-r.paceSetAt > paceInterval) && want == 0 {
		c.sendPace(r, 0) // again, in case the last order was lost
		return
	}
	if want != r.pace {
		c.sendPace(r, want)
	}
}

func (c *Core) sendPace(r *run, percent int) {
	r.pace, r.paceSetAt = percent, c.now.Mono
	c.emit(Pace{Order: external.PaceOrder{OrderHeader: c.orderHeader(r.worker), Task: r.task, Run: r.number, Percent: percent}})
}

// hasMixedLoad reports whether both serving tasks and fillers run on the worker.
func (w *worker) hasMixedLoad() bool {
	serves, fills := false, false
	for _, r := range w.runs {
		if r.unit == nil {
			continue
		}
		serves = serves || r.unit.group.step.LatencyTargetMS > 0
		fills = fills || r.unit.group.step.BestEffortCPU
	}
	return serves && fills
}
