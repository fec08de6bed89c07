package faultrun

import (
	"time"

	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/model"
)

// unowned counts the scopes that no living host decides for.
func (s *Sim) unowned() int {
	n := 0
	for _, t := range s.targets {
		if s.ownersOf(t.Scope) == 0 {
			n++
		}
	}
	return n
}

func (s *Sim) ownersOf(sc model.Scope) int {
	n := 0
	for _, h := range s.hosts {
		if _, ok := h.own.Owned(sc); ok && !h.dead {
			n++
		}
	}
	return n
}

// startableTwice counts the key groups of which two hosts may start work now.
func (s *Sim) startableTwice() int {
	n := 0
	for g := range model.GroupID(s.cfg.Document.Fleet.KeyGroups) {
		may := 0
		for _, h := range s.hosts {
			if _, ok := h.own.MayStart(s.now, g); ok && !h.dead {
				may++
			}
		}
		if may > 1 {
			n++
		}
	}
	return n
}

// cancel asks the last known owner of a request's group to end it, again until
// one answers.
func (s *Sim) cancel(r *request) {
	s.cancelsOpen++
	s.tryCancel(r)
}

func (s *Sim) tryCancel(r *request) {
	e := r.entry
	h, _ := e.choose(s.routes.Group(r.work.Key))
	if h == nil {
		s.after(retryAfter, func() { s.tryCancel(r) })
		return
	}
	boot := h.boot
	s.send("cancel", e.place, h.place, func() {
		h.post(boot, func() {
			h.waiter++
			h.cancels[h.waiter] = func(a ledger.AnswerCancel) {
				s.send("cancel answer", h.place, e.place, func() { s.cancelAnswered(r, a) })
			}
			h.stepLed(ledger.Cancelled{Key: r.work.Key, Account: r.work.Account, Waiter: h.waiter})
		})
	})
	s.after(2*callTimeout, func() {
		if !r.cancelled {
			s.tryCancel(r)
		}
	})
}

func (s *Sim) cancelAnswered(r *request, a ledger.AnswerCancel) {
	if a.Moved || r.cancelled {
		return
	}
	r.cancelled = true
	s.cancelsOpen--
	if a.Done {
		r.cancelledAt = s.now
	}
}

// startedAfterCancel counts the runs that began after their cancel was
// acknowledged as done.
func (s *Sim) startedAfterCancel() int {
	at := make(map[model.Key]time.Time)
	for _, r := range s.requests {
		if !r.cancelledAt.IsZero() {
			at[r.work.Key] = r.cancelledAt
		}
	}
	n := 0
	for _, m := range s.machines {
		for _, run := range m.w.Runs() {
			if t, ok := at[run.Key]; ok && run.Start.After(t) {
				n++
			}
		}
	}
	return n
}
