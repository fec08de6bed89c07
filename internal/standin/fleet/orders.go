package fleet

import (
	"context"
	"slices"
	"time"

	"coltsfootmux/internal/external"
)

var _ external.Workers = (*Fleet)(nil)

// maxEnds bounds the ends of one answer.
const maxEnds = 500

// Start implements external.Workers at the fleet's present time.
func (f *Fleet) Start(_ context.Context, o external.StartOrder) (external.OrderResult, error) {
	m, r, err := f.reach(o.OrderHeader)
	if err != nil || m == nil {
		return r, err
	}
	m.extend(o.LeaseEnd)
	if l := m.find(o.Task, o.Run); l != nil {
		return m.report(external.RefusedNone), nil
	}
	switch {
	case m.barred[o.Task] >= o.Run:
		return m.report(external.RefusedStaleRun), nil
	case o.LeaseEnd < m.clock(f.now):
		return m.report(external.RefusedLeaseExpired), nil
	}
	j := f.jobs[o.Task.Job]
	if j == nil || o.Task.Step >= len(j.Steps) {
		f.fault("start of %v, which nobody asked for", o.Task)
		return m.report(external.RefusedInvalid), nil
	}
	step := &j.Steps[o.Task.Step]
	if !m.free().Covers(step.Resources()) {
		return m.report(external.RefusedCapacity), nil
	}
	f.checkStart(m, o)
	d, _ := f.work(o.Task, o.Run)
	l := &live{task: o.Task, run: o.Run, step: step, machine: m, total: d, left: d, arrived: f.now, pace: 100}
	if o.Checkpoint != "" {
		if at, err := time.ParseDuration(o.Checkpoint); err == nil {
			l.saved, l.left = at, d-at
		}
	}
	if m.Mode == Rejecting {
		span := int(rejectMost-rejectLeast) / int(time.Millisecond)
		l.doomed = f.now + rejectLeast + time.Duration((o.Task.Index*37)%span)*time.Millisecond
	}
	m.live = append(m.live, l)
	f.joinGang(l)
	f.Starts++
	f.ran[o.Task.Job] = true
	return m.report(external.RefusedNone), nil
}

// checkStart notes what a start breaks.
func (f *Fleet) checkStart(m *Machine, o external.StartOrder) {
	j := f.jobs[o.Task.Job]
	step := &j.Steps[o.Task.Step]
	for _, other := range f.order {
		for _, l := range other.live {
			if l.task == o.Task && !other.Down {
				f.fault("two runs of %v at once: %d on %s and %d on %s", o.Task, l.run, other.ID, o.Run, m.ID)
			}
		}
	}
	if f.done[o.Task] {
		f.fault("start of %v, which has ended done", o.Task)
	}
	if at, ok := f.stopped[o.Task.Job]; ok && f.now > at && !f.OrderDelayed {
		f.fault("start of %v of a cancelled job", o.Task)
	}
	if o.Spec != j.Spec {
		f.fault("start of %v with another spec", o.Task)
	}
	f.checkPlace(m, o, step.Label, step.MaxPerWorker)
	for _, a := range step.After {
		f.checkOrder(o, a)
	}
}

func (f *Fleet) checkPlace(m *Machine, o external.StartOrder, label string, most int) {
	if label != "" && !slices.Contains(m.Labels, label) {
		f.fault("start of %v on %s without label %s", o.Task, m.ID, label)
	}
	beside := 0
	for _, l := range m.live {
		if sameGang(l.task, o.Task) {
			beside++
		}
	}
	if most > 0 && beside >= most {
		f.fault("start of %v on %s beside %d of its step", o.Task, m.ID, beside)
	}
}

// checkOrder notes a start before an earlier step has ended. A gang has ended
// with any of its members.
func (f *Fleet) checkOrder(o external.StartOrder, after int) {
	j := f.jobs[o.Task.Job]
	t := o.Task
	t.Step = after
	ended := 0
	for n := range j.Steps[after].Count {
		t.Index = n
		if f.ever[t] {
			ended++
		}
	}
	if ended < j.Steps[after].Count && !(j.Steps[after].Gang && ended > 0) {
		f.fault("start of %v before step %d has ended", o.Task, after)
	}
}

// Stop implements external.Workers.
func (f *Fleet) Stop(_ context.Context, o external.StopOrder) (external.OrderResult, error) {
	m, r, err := f.reach(o.OrderHeader)
	if err != nil || m == nil {
		return r, err
	}
	if m.barred[o.Task] < o.Run {
		m.barred[o.Task] = o.Run
	}
	if l := m.find(o.Task, o.Run); l != nil {
		m.end(l, external.EndedStopped)
		f.breakGang(l)
	}
	return m.report(external.RefusedNone), nil
}

// Pace implements external.Workers.
func (f *Fleet) Pace(_ context.Context, o external.PaceOrder) (external.OrderResult, error) {
	m, r, err := f.reach(o.OrderHeader)
	if err != nil || m == nil {
		return r, err
	}
	if l := m.find(o.Task, o.Run); l != nil {
		l.pace = o.Percent
	}
	return m.report(external.RefusedNone), nil
}

// Hold implements external.Workers; it answers at once.
func (f *Fleet) Hold(_ context.Context, o external.HoldOrder) (external.HoldResult, error) {
	m, r, err := f.reach(o.OrderHeader)
	if err != nil || m == nil {
		return external.HoldResult{Refusal: r.Refusal}, err
	}
	if o.LeaseEnd > 0 {
		m.extend(o.LeaseEnd)
	}
	for _, e := range m.ended {
		if e.Number <= o.Acknowledge && e.Reason == external.EndedDone {
			f.acknowledged(e.Task)
		}
	}
	m.ended = slices.DeleteFunc(m.ended, func(e external.EndedRun) bool { return e.Number <= o.Acknowledge })
	out := external.HoldResult{Clock: m.clock(f.now), StartedMS: m.StartedMS}
	for _, l := range m.live {
		out.Running = append(out.Running, external.ActiveRun{Task: l.task, Run: l.run, Checkpoint: l.checkpoint(), Percent: l.percent(), Measurement: m.figure(l)})
	}
	out.Ended = append(out.Ended, m.ended[:min(len(m.ended), maxEnds)]...)
	return out, nil
}

// reach gives the machine that a call is meant for. A nil machine without an
// error means that the answer says why nothing was done.
func (f *Fleet) reach(c external.OrderHeader) (*Machine, external.OrderResult, error) {
	m := f.machines[c.Worker]
	if m == nil || m.Down {
		return nil, external.OrderResult{}, external.ErrOutcomeUnknown
	}
	if c.FencingToken < m.fence {
		return nil, external.OrderResult{}, external.ErrFenced
	}
	m.fence = c.FencingToken
	return m, external.OrderResult{}, nil
}

// extend prolongs the lease, at most up to the longest.
func (m *Machine) extend(until time.Duration) {
	m.lease = max(m.lease, min(until, m.clock(m.fleet.now)+MaxLease))
}

func (m *Machine) report(r external.Refusal) external.OrderResult {
	return external.OrderResult{Clock: m.clock(m.fleet.now), Refusal: r}
}
