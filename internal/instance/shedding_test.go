package instance

import (
	"context"
	"errors"
	"testing"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/job"
)

// newRefusingOwner returns an owner that has all work refused and has read its topics a time ago.
func newRefusingOwner(t *testing.T, read time.Duration) *owner {
	t.Helper()
	o, _ := newPausedOwner(t, time.Second)
	p := &job.Policy{Routes: []job.Route{{Queue: job.Queue{Name: "q", Priority: 1}}}}
	o.core = cell.New(cell.Settings{StartGrace: time.Second}, 1, p, instant())
	for n := range o.jobsReadAt {
		o.jobsReadAt[n] = boottime() - read
	}
	o.inst.owner.Store(o)
	o.inst.policy.Store(&currentPolicy{policy: p})
	o.inst.term.Step(boottime(), term.PeerRecord{Record: term.Record{Term: 99, Owner: "other/1", Refused: 100}})
	return o
}

// TestJobThatTheOwnerKnowsIsNotRefused guards against a caller that is told that its job never runs, as the
// owner lacks processor time now, although an earlier attempt was accepted.
func TestJobThatTheOwnerKnowsIsNotRefused(t *testing.T) {
	o := newRefusingOwner(t, 0)
	known := job.Job{ID: "known", Queue: job.Queue{Name: "q", Priority: 1, Pool: "p"}, Steps: []job.Step{{Count: 1, CPU: 1}}}
	o.core.Step(instant(), cell.Submitted{Job: known})
	if accepted, err := o.inst.shed(context.Background(), &known); !accepted || err != nil {
		t.Errorf("a job that the owner knows: accepted %v, %v", accepted, err)
	}
	var refusal *OverloadError
	if _, err := o.inst.shed(context.Background(), &job.Job{ID: "new", Queue: known.Queue}); !errors.As(err, &refusal) || refusal.RetryAfter <= 0 {
		t.Errorf("a new job: %v", err)
	}
}

// TestJobThatTheOwnerHasNotReadYetIsNotRefused guards against a refusal by an owner that has not read the record
// of an earlier attempt, whose answer was lost.
func TestJobThatTheOwnerHasNotReadYetIsNotRefused(t *testing.T) {
	o := newRefusingOwner(t, 2400*time.Millisecond)
	if _, err := o.inst.shed(context.Background(), &job.Job{ID: "stored", Queue: job.Queue{Priority: 1}}); errors.Is(err, ErrOverloaded) {
		t.Errorf("refused 2.4 s after the owner last read the topics: %v", err)
	}
}
