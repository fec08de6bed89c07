package cell

import (
	"time"

	"coltsfootmux/internal/external"
)

// Pacing keeps serving tasks below their target beside tasks that fill a
// worker: fillers stop working as soon as a tail is over its target, and come
// back step by step once all tails on the worker are well below.
const (
	// paceCalm is the share of its target below which a tail is well.
	paceCalm = 0.7
	// paceStep is by how many percent fillers come back at a time.
	paceStep = 25
	// paceWait lies between two steps up, and between two orders for one run that
	// was not confirmed.
	paceWait = 1200 * time.Millisecond
	// paceHold is the longest wait of a hold where serving and filling tasks run
	// side by side.
	paceHold = 500 * time.Millisecond
	fullPace = 100
)

// Pace lets a run work at a share of its speed.
type Pace struct{ Order external.PaceOrder }

func (Pace) action() {}

// pace looks at a worker's serving and filling tasks after its lists came in.
func (c *Core) pace(w *worker) {
	if !w.isShared() {
		return
	}
	over, calm := false, true
	for _, r := range w.runs {
		if r.unit == nil || r.unit.group.step.LatencyTargetMS == 0 || r.state != runRunning {
			continue
		}
		target := float64(r.unit.group.step.LatencyTargetMS)
		over = over || float64(r.measurement) > target
		calm = calm && float64(r.measurement) < paceCalm*target
	}
	for _, r := range w.runs {
		if r.unit != nil && r.unit.group.step.BestEffortCPU && r.state == runRunning {
			c.paceRun(r, over, calm)
		}
	}
}

func (c *Core) paceRun(r *run, over, calm bool) {
	want := r.pace
	switch {
	case over:
		want = 0
	case calm && r.pace < fullPace && c.now.Mono-r.paceSetAt > paceWait:
		want = min(r.pace+paceStep, fullPace)
	}
	if want == r.pace && (over && c.now.Mono-r.paceSetAt > paceWait) && want == 0 {
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

// isShared says whether serving and filling tasks run on the worker.
func (w *worker) isShared() bool {
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
