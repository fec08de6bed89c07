package instance

import (
	"errors"
	"sync"
	"testing"
	"time"

	"coltsfootmux/internal/job"
	"coltsfootmux/internal/overview"
)

func TestExplanationsAreLimited(t *testing.T) {
	var e explanations
	if !e.begin(time.Minute) {
		t.Fatal("first one refused")
	}
	if e.begin(time.Minute + 2*explainInterval) {
		t.Error("second one admitted while the first is being made")
	}
	e.end()
	if e.begin(time.Minute + explainInterval - 1) {
		t.Error("second one admitted too soon")
	}
	if !e.begin(time.Minute + explainInterval) {
		t.Error("second one refused after the interval")
	}
}

func TestExplainedJobNeedsAKnownQueueAndAccount(t *testing.T) {
	r := newRig(t, 1)
	r.waitFor("the owner", func() bool { return r.owner() != nil })
	i := r.owner().inst
	for name, c := range map[string]struct {
		queue, account string
		want           error
	}{
		"known":           {"q", "a", nil},
		"unknown queue":   {"z", "a", ErrUnknownQueue},
		"unknown account": {"q", "b", ErrUnknownAccount},
		"no account":      {"q", "", ErrUnknownAccount},
	} {
		j, err := i.ExplainedJob(c.queue, c.account)
		if !errors.Is(err, c.want) || err == nil && (j.Queue.Pool != "p" || j.Account != "a") {
			t.Errorf("%s: %+v, error %v, want %v", name, j, err, c.want)
		}
	}
}

// The copy is used without the owner's lock; the race detector finds what it shares with
// the owner's state while jobs are submitted, run and end.
func TestExplanationsBesideTheOwnersWork(t *testing.T) {
	r := newRig(t, 2)
	r.waitFor("the owner", func() bool { return r.owner() != nil })
	n := r.owner()
	r.waitFor("a policy", func() bool { _, err := n.inst.ExplainedJob("q", "a"); return err == nil })
	explain := func() (overview.Explanation, error) {
		n.inst.explanations.mu.Lock()
		n.inst.explanations.earliest = 0
		n.inst.explanations.mu.Unlock()
		j, err := n.inst.ExplainedJob("q", "a")
		if err != nil {
			t.Fatal(err)
		}
		j.Steps = []job.Step{{Count: 2, CPU: 1000, MemMB: 10, EstimateMS: 100}}
		return n.inst.Explain(j)
	}
	r.waitFor("an explanation with places", func() bool {
		ex, err := explain()
		return err == nil && ex.Steps[0].Starting == 2
	})
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				_, _ = explain()
			}
		}
	})
	for _, id := range []string{"j1", "j2", "j3"} {
		r.waitFor("accepted", func() bool { return r.submit(n, id, 12) == nil })
	}
	for _, id := range []string{"j1", "j2", "j3"} {
		r.waitFor("complete", r.isComplete(n, id))
	}
	close(stop)
	wg.Wait()
	if s, err := r.status(n, string(explainedID)); !errors.Is(err, ErrNoJob) {
		t.Errorf("the explained job is known to the owner: %v, %v", s, err)
	}
	r.checkFleet()
}

func TestOnlyTheOwnerExplains(t *testing.T) {
	r := newRig(t, 2)
	r.waitFor("the owner", func() bool { return r.owner() != nil })
	other := r.nonOwner().inst
	r.waitFor("a policy", func() bool { _, err := other.ExplainedJob("q", "a"); return err == nil })
	j, _ := other.ExplainedJob("q", "a")
	if _, err := other.Explain(j); !errors.Is(err, job.ErrInvalid) {
		t.Errorf("a job without steps: %v", err)
	}
	j.Steps = []job.Step{{Count: 1, CPU: 1000}}
	if _, err := other.Explain(j); !errors.Is(err, ErrNotOwner) {
		t.Errorf("at an instance that does not own the cell: %v", err)
	}
	r.waitFor("the owner's address", func() bool { return other.OwnerAddr() == r.owner().inst.Settings.LinkAddr })
}
