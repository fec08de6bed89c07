package worker

import (
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// throttleFactor is the factor by which throttling extends the remaining run time.
const throttleFactor = 2

// control carries out a verb on a running task. Each verb may be repeated.
func (s *state) control(c platform.Control, now time.Time) error {
	if !validID(string(c.Lease)) || !validID(string(c.Cell)) {
		return refuse("ids of lease and cell must have 1 to 256 bytes")
	}
	if err := s.observeEpoch(model.CellScope(c.Cell), c.Epoch); err != nil {
		return err
	}
	l, ok := s.leases[c.Lease]
	if !ok || l.task == nil {
		return eris.Wrap(platform.ErrNotFound, "no running task under this lease")
	}
	if l.cell != c.Cell {
		return refuse("lease belongs to another cell")
	}
	switch c.Verb {
	case platform.VerbCheckpoint:
		s.checkpoint(l, now)
	case platform.VerbThrottle:
		l.throttle(now)
	case platform.VerbStop:
		s.endLease(l, platform.EndStopped, now)
	default:
		return refuse("unknown verb")
	}
	return nil
}

func (s *state) checkpoint(l *lease, now time.Time) {
	if s.fault.HangCheckpoints || !l.task.checkpoint.IsZero() {
		return
	}
	l.task.checkpoint = now.Add(s.opts.CheckpointTime)
}

func (l *lease) throttle(now time.Time) {
	if l.task.throttled {
		return
	}
	l.task.throttled = true
	l.task.due = now.Add(l.task.due.Sub(now) * throttleFactor)
}
