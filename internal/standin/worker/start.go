package worker

import (
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// grant leases room. A repeat of a grant in force changes nothing.
func (s *state) grant(g platform.Grant, now time.Time) error {
	if err := checkGrant(g); err != nil {
		return err
	}
	if err := s.see(model.CellScope(g.Cell), g.Epoch); err != nil {
		return err
	}
	return s.lease(g, now)
}

func (s *state) lease(g platform.Grant, now time.Time) error {
	if l, ok := s.leases[g.Lease]; ok {
		return sameGrant(l, g)
	}
	if _, ok := s.bars.get(g.Lease); ok {
		return refuse("lease id was released, lapsed or used before")
	}
	if s.bars.full() || len(s.leases) >= defaultMaxLeases {
		return eris.Wrap(platform.ErrUnavailable, "too many leases")
	}
	if !g.Shape.Fits(s.free) {
		return refuse("no room")
	}
	s.free = s.free.Sub(g.Shape)
	s.leases[g.Lease] = &lease{
		id:      g.Lease,
		cell:    g.Cell,
		shape:   g.Shape,
		label:   g.Label,
		granted: now,
		expires: now.Add(g.TTL),
	}
	return nil
}

func sameGrant(l *lease, g platform.Grant) error {
	if l.cell != g.Cell || l.shape != g.Shape || l.label != g.Label {
		return refuse("lease id is in use for something else")
	}
	return nil
}

// start starts the one task of a lease. A repeat of a start that took place is
// answered alike whatever its epoch, as a refusal would say that it did not.
func (s *state) start(req platform.Start, waited time.Duration, now time.Time) error {
	if err := checkStart(req); err != nil {
		return err
	}
	if s.started(req.Lease) {
		return nil
	}
	if err := s.mayStart(req, waited, now); err != nil {
		return err
	}
	if req.Grant != nil {
		if err := s.lease(*req.Grant, now); err != nil {
			return err
		}
	}
	l, ok := s.leases[req.Lease]
	if !ok {
		return refuse("no such lease")
	}
	if l.cell != req.Cell {
		return refuse("lease belongs to another cell")
	}
	s.run(l, req.Body, now)
	return nil
}

// started reports whether the lease's task was started at some time.
func (s *state) started(id model.LeaseID) bool {
	if l, ok := s.leases[id]; ok {
		return l.task != nil
	}
	b, ok := s.bars.get(id)
	return ok && b.started
}

// mayStart checks the epochs, the hold and the time bound of a start.
func (s *state) mayStart(req platform.Start, waited time.Duration, now time.Time) error {
	if err := s.see(model.CellScope(req.Cell), req.Epoch); err != nil {
		return err
	}
	if req.Incarnation != "" && req.Incarnation != s.incarnation {
		return refuse("start is for an earlier incarnation")
	}
	if req.Within > 0 && waited > req.Within {
		return refuse("start arrived too late")
	}
	if !req.Keyed {
		return nil
	}
	if err := s.see(model.GroupScope(req.Group), req.GroupEpoch); err != nil {
		return err
	}
	if !s.holds.allows(req.Group, req.GroupEpoch, now) {
		return refuse("no hold on the key group under this epoch")
	}
	return nil
}

func (s *state) run(l *lease, body []byte, now time.Time) {
	plan := s.opts.Runner.Plan(Task{Label: l.label, Shape: l.shape, Body: body})
	if s.fault.FailAll {
		plan = Plan{Failed: true, Answer: []byte("worker is at fault")}
	}
	if len(plan.Answer) > maxAnswer {
		plan.Answer = plan.Answer[:maxAnswer]
	}
	if plan.Used.IsZero() {
		plan.Used = l.shape
	}
	if s.fault.UsageFactor > 0 {
		plan.Used = plan.Used.Times(s.fault.UsageFactor)
	}
	l.task = &task{plan: plan, began: now, due: now.Add(max(plan.RunTime, 0))}
	l.task.run = s.journal.began(s.opts.ID, l, now)
}
