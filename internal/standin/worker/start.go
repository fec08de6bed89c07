package worker

import (
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// grant adds a lease. Repeating a grant that is in force changes nothing.
func (s *state) grant(g platform.Grant, now time.Time) error {
	if err := checkGrant(g); err != nil {
		return err
	}
	if err := s.observeEpoch(model.CellScope(g.Cell), g.Epoch); err != nil {
		return err
	}
	return s.addLease(g, now)
}

func (s *state) addLease(g platform.Grant, now time.Time) error {
	if l, ok := s.leases[g.Lease]; ok {
		return sameGrant(l, g)
	}
	if _, ok := s.barred.get(g.Lease); ok {
		return refuse("lease id was released, expired or used before")
	}
	if s.barred.full() || len(s.leases) >= maxLeases {
		return eris.Wrap(platform.ErrUnavailable, "too many leases")
	}
	if !g.Shape.Fits(s.free) {
		return refuse("not enough free capacity")
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
		return refuse("lease id is in use for a different grant")
	}
	return nil
}

// start starts the task of a lease. Repeating a start that took place succeeds
// whatever its epoch, as a refusal would mean that the task was not started.
func (s *state) start(req platform.Start, waited time.Duration, now time.Time) error {
	if err := checkStart(req); err != nil {
		return err
	}
	if s.wasStarted(req.Lease) {
		return nil
	}
	if err := s.checkMayStart(req, waited, now); err != nil {
		return err
	}
	if req.Grant != nil {
		if err := s.addLease(*req.Grant, now); err != nil {
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
	s.runTask(l, req.Body, now)
	return nil
}

// wasStarted reports whether the lease's task was ever started.
func (s *state) wasStarted(id model.LeaseID) bool {
	if l, ok := s.leases[id]; ok {
		return l.task != nil
	}
	b, ok := s.barred.get(id)
	return ok && b.started
}

// checkMayStart checks the epochs, the hold and the time limit of a start.
func (s *state) checkMayStart(req platform.Start, waited time.Duration, now time.Time) error {
	if err := s.observeEpoch(model.CellScope(req.Cell), req.Epoch); err != nil {
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
	if err := s.observeEpoch(model.GroupScope(req.Group), req.GroupEpoch); err != nil {
		return err
	}
	if !s.holds.allows(req.Group, req.GroupEpoch, now) {
		return refuse("no hold on the key group under this epoch")
	}
	return nil
}

func (s *state) runTask(l *lease, body []byte, now time.Time) {
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
	l.task = &task{plan: plan, startedAt: now, due: now.Add(max(plan.RunTime, 0))}
	l.task.runNum = s.journal.recordStart(s.opts.ID, l, now)
}
