package instance

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/core/upkeep"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/store"
)

// orderRecorder counts the orders that reach workers.
type orderRecorder struct {
	external.Workers
	starts, others atomic.Int64
}

func (r *orderRecorder) count(ctx context.Context) error {
	if ctx.Err() != nil {
		return external.ErrNotExecuted
	}
	r.others.Add(1)
	return nil
}

func (r *orderRecorder) Stop(ctx context.Context, _ external.StopOrder) (external.OrderResult, error) {
	return external.OrderResult{}, r.count(ctx)
}

func (r *orderRecorder) Pace(ctx context.Context, _ external.PaceOrder) (external.OrderResult, error) {
	return external.OrderResult{}, r.count(ctx)
}

func (r *orderRecorder) Hold(ctx context.Context, _ external.HoldOrder) (external.HoldResult, error) {
	return external.HoldResult{}, r.count(ctx)
}

func (r *orderRecorder) Start(context.Context, external.StartOrder) (external.OrderResult, error) {
	r.starts.Add(1)
	return external.OrderResult{}, nil
}

// newPausedOwner returns the owner of a term and its workers. The owner may order starts for
// grace; nothing checks its term, as in a process that is paused.
func newPausedOwner(t *testing.T, grace time.Duration) (*owner, *orderRecorder) {
	t.Helper()
	workers := &orderRecorder{}
	settings := cell.Settings{Lease: 2 * time.Second, StartGrace: grace}
	inst := New(Options{
		Settings:    Settings{Name: "n", Incarnation: "n/1", LinkAddr: "127.0.0.1:1", Term: fastTermSettings(0), Cell: settings},
		StoreClient: store.New(), Workers: workers, Logger: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(inst.Close)
	o := newOwner(inst, term.Gained{Term: 1, At: boottime()})
	o.core = cell.New(settings, 1, &job.Policy{}, instant())
	return o, workers
}

// A process was stopped (SIGSTOP) between the decision for a start and the call. When it went on,
// the call was sent before any timer had noticed that the term was over. The end of the lease in
// the order bars it at a worker that runs on, but not at one that has started again under its
// identifier: the clock of the new process is far behind.
func TestStartDecidedBeforeAPauseIsNotSentAfterIt(t *testing.T) {
	const grace = 50 * time.Millisecond
	o, workers := newPausedOwner(t, grace)
	decided := cell.Start{Order: external.StartOrder{Task: job.TaskID{Job: "j"}, Run: 1000, LeaseEnd: time.Hour}}
	o.inst.wgMu.Lock() // the goroutine of the call does not begin
	sent := make(chan struct{})
	go func() { o.perform(decided); close(sent) }()
	time.Sleep(2 * grace)
	o.inst.wgMu.Unlock()
	<-sent
	o.inst.wg.Wait()
	if n := workers.starts.Load(); n != 0 {
		t.Errorf("%d starts were sent %v after the term's last confirmation, of which an owner may start tasks for %v", n, 2*grace, grace)
	}
}

func TestStartIsSentWhileItsTermIsConfirmed(t *testing.T) {
	o, workers := newPausedOwner(t, time.Minute)
	o.perform(cell.Start{Order: external.StartOrder{Task: job.TaskID{Job: "j"}, Run: 1000, LeaseEnd: time.Hour}})
	o.inst.wg.Wait()
	if n := workers.starts.Load(); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}

// The same for the other orders: a stop that was sent after a pause ended a task that the next owner
// counted as at work.
func TestOrderDecidedBeforeAPauseIsNotSentIfTheTermIsOver(t *testing.T) {
	for name, action := range map[string]cell.Action{
		"a stop": cell.Stop{Order: external.StopOrder{Task: job.TaskID{Job: "j"}, Run: 1000}},
		"a pace": cell.Pace{Order: external.PaceOrder{Task: job.TaskID{Job: "j"}, Run: 1000}},
		"a hold": cell.Hold{Order: external.HoldOrder{LeaseEnd: time.Hour}, Number: 1},
	} {
		t.Run(name, func(t *testing.T) {
			paused, workers := newPausedOwner(t, time.Second)
			inst := paused.inst
			inst.stepTerm(term.ReadResult{})
			inst.stepTerm(term.Tick{}) // claims, and is the last tick
			for end := time.Now().Add(5 * time.Second); inst.owner.Load() == nil && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			o := inst.owner.Load()
			if o == nil {
				t.Fatal("no term")
			}
			time.Sleep(inst.Settings.Term.ConfirmTimeout + 50*time.Millisecond)
			before := workers.others.Load()
			o.perform(action)
			time.Sleep(100 * time.Millisecond)
			if n := workers.others.Load() - before; n != 0 {
				t.Errorf("%d orders were sent in a term that was not confirmed for ConfirmTimeout", n)
			}
		})
	}
}

// upkeepRecorder counts the orders that reach the platform.
type upkeepRecorder struct{ orders atomic.Int64 }

func (r *upkeepRecorder) Upkeep(context.Context, external.UpkeepOrder) (external.UpkeepResult, error) {
	r.orders.Add(1)
	return external.UpkeepBegun, nil
}

// An owner went on with a wave for up to ConfirmTimeout after its term was last confirmed, and
// after a pause of its process, while the next owner led the same wave. Each kept to the wave's
// limit by itself.
func TestUpkeepIsNotOrderedWithoutAConfirmedTerm(t *testing.T) {
	const grace, firstOrder = 50 * time.Millisecond, 2 * time.Second
	o, _ := newPausedOwner(t, grace)
	service := &upkeepRecorder{}
	o.inst.UpkeepService = service
	o.inst.DecodeWave = func(external.Record) (upkeep.Wave, bool, error) {
		return upkeep.Wave{Number: 1, Machines: []string{"a", "b"}, MaxDown: 1, Duration: time.Second}, true, nil
	}
	o.inst.EncodeWave = func(upkeep.Report) (external.Record, error) { return external.Record{Key: "wave/1"}, nil }
	time.Sleep(2 * grace)
	if r := o.orderUpkeep(upkeep.Order{Machine: "a", Wave: 1}); r != upkeep.Busy {
		t.Errorf("result %v of an order that was decided before a pause", r)
	}
	o.inst.addWave(external.Record{Key: "wave/1"})
	o.inst.spawn(func(context.Context) { o.runUpkeep() })
	time.Sleep(firstOrder + 3*upkeepInterval)
	o.end()
	if n := service.orders.Load(); n != 0 {
		t.Errorf("%d orders, want none", n)
	}
}
