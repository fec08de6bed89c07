package ledger

import (
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// state is where an entry stands.
type state uint8

const (
	// waiting: not handed to placement, or to be handed to it again.
	waiting state = iota
	// dispatched: with placement; nothing of the attempt was sent.
	dispatched
	// sent: starts of the attempt are out.
	sent
	// asking: the attempt's fate is in doubt, and its workers are asked.
	asking
	// ended: the outcome is final.
	ended
	// dropped: no longer in the ledger.
	dropped
)

// entry is what the ledger knows of one key.
type entry struct {
	key        model.Key
	group      model.GroupID
	account    model.Account
	kind       model.Kind
	members    int
	idempotent bool
	detached   bool
	// sum is of the body; hasSum is false for work only seen on workers.
	sum    uint64
	hasSum bool
	// work is the whole request; hasWork is false for work only seen on workers.
	work    model.Work
	hasWork bool

	state   state
	attempt int
	// redone counts the attempts of which nothing was sent.
	redone int
	// notBefore holds back a retry.
	notBefore time.Time
	deadline  time.Time
	traces    []*trace
	// mayHaveRun says that an earlier attempt's fate was never settled, or lies
	// in a gap of the group's history.
	mayHaveRun bool
	cancelled  bool
	// doubt is why the attempt is asked about.
	doubt   model.Reason
	askedAt time.Time
	// lastAsk is when the deadline's last question was sent.
	lastAsk time.Time
	// verdict is a not_run that can't be said while the group's holds are lapsed.
	verdict *model.Result

	waiters []Waiter
	cancels []Waiter

	result  model.Result
	endedAt time.Time
}

// trace is one place where an attempt may have left a mark.
type trace struct {
	Trace
	// begun is the earliest time at which the task may have started there.
	begun time.Time
	// barred says that it never started there and never will.
	barred bool
	// forgotten says that the worker restarted and can't tell.
	forgotten bool
	running   bool
	ending    *platform.Ending
}

func (t *trace) open() bool { return !t.barred && !t.forgotten && t.ending == nil }

func (e *entry) live() bool { return e.state != ended && e.state != dropped }

// unsent says that nothing of the current attempt has left the scheduler.
func (e *entry) unsent() bool { return e.state == waiting || e.state == dispatched }

func (e *entry) trace(t Trace) *trace {
	for _, x := range e.traces {
		if x.Worker == t.Worker && x.Lease == t.Lease {
			return x
		}
	}
	return nil
}

func (e *entry) size() int { return len(e.result.Answer) + len(e.key) }
