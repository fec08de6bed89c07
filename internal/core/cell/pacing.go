package cell

import (
	"time"

	"coltsfootmux/internal/external"
)

// Pacing keeps serving tasks below their target beside tasks that fill a
// worker: fillers stop working as soon as a tail is over its target, and come
// back step by step once all tails on the worker are well below.
const (
	// paceHeadroomShare is the share of its target below which a tail is well.
	paceHeadroomShare = 0.7
	// paceStepPercent is by how many percent fillers come back at a time.
	paceStepPercent = 25
	// paceInterval lies between two steps up, and between two orders for one run that
	// was not confirmed.
	paceInterval = 1200 * time.Millisecond
	// maxMixedHoldWait is the longest wait of a hold where serving and filling tasks run
	// side by side.
	maxMixedHoldWait = 500 * time.Millisecond
	fullPace         = 100
)

// Pace lets a run work at a share of its speed.
type Pace struct{ Order external.PaceOrder }

func (Pace) action() {}

// pace looks at a worker's serving and filling tasks after its lists came in.
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

func (c *Core) paceRun(r *run, overTarget, headroom bool) {
	want := r.pace
	switch {
	case overTarget:
		want = 0
	case headroom && r.pace < fullPace && c.now.Mono-r.paceSetAt > paceInterval:
		want = min(r.pace+paceStepPercent, fullPace)
	}
	if want == r.pace && (overTarget && c.now.Mono-r.paceSetAt > paceInterval) && want == 0 {
		c.sendPace(r, 0) // once more, in case the last order was lost
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

// hasMixedLoad says whether serving and filling tasks run on the worker.
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
