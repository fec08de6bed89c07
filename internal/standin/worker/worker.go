package worker

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/protocol"
	"coltsfootmux/internal/standin/fault"
)

// Worker is a stand-in worker. It is safe for concurrent use. Its methods
// implement platform.Worker directly; Handler serves them over HTTP, where the
// faults of the interface also apply.
type Worker struct {
	opts    Options
	faults  *fault.Injector
	journal *journal

	mu       sync.Mutex
	restarts int
	state    *state
	changed  chan struct{} // closed when a task has ended or the worker restarted
}

var _ platform.Worker = (*Worker)(nil)

// New returns a worker that has just started.
func New(opts Options) *Worker {
	opts = opts.withDefaults()
	w := &Worker{
		opts:    opts,
		faults:  fault.NewInjector(opts.Clock),
		journal: &journal{},
		changed: make(chan struct{}),
	}
	w.startIncarnation(Fault{})
	return w
}

// startIncarnation begins a new incarnation. The caller must hold w.mu, except in New.
func (w *Worker) startIncarnation(f Fault) {
	w.state = newState(w.opts, w.restarts, w.journal, f, w.opts.Clock())
}

// Restart ends all tasks and discards all state except the faults and the journal.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.opts.Clock()
	w.state.advance(now)
	w.state.recordLostRuns(now)
	w.restarts++
	w.startIncarnation(w.state.fault)
	w.notify()
}

// SetFault replaces the current faults.
func (w *Worker) SetFault(f Fault) {
	w.faults.SetFault(f.Fault)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.fault = f
}

// Fault returns the current faults.
func (w *Worker) Fault() Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.state.fault
	f.Fault = w.faults.Fault()
	return f
}

// SilenceConnections silences the connections in use permanently; new connections work.
func (w *Worker) SilenceConnections() { w.faults.SilenceConnections() }

// Runs returns the latest runs on this worker, in the order of their starts. They
// include those of earlier incarnations.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	w.advance()
	w.mu.Unlock()
	return w.journal.all()
}

// advance ends what is due by now and returns the time. The caller must hold w.mu.
func (w *Worker) advance() time.Time {
	now := w.opts.Clock()
	if w.state.advance(now) {
		w.notify()
	}
	return now
}

func (w *Worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// Fence raises a scope's epoch and returns the previous one.
func (w *Worker) Fence(_ context.Context, f platform.Fence) (platform.Fenced, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.fence(f, w.advance())
}

// Hold grants or renews holds on key groups.
func (w *Worker) Hold(_ context.Context, hs []platform.Hold) ([]platform.Held, error) {
	if len(hs) > protocol.MaxHolds {
		return nil, refuse("too many holds in one message")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	out := make([]platform.Held, 0, len(hs))
	for _, h := range hs {
		out = append(out, w.state.hold(h, now))
	}
	return out, nil
}

// Grant leases capacity to the caller.
func (w *Worker) Grant(_ context.Context, g platform.Grant) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.grant(g, w.advance())
}

// Start starts the task of a lease.
func (w *Worker) Start(ctx context.Context, s platform.Start) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	return w.state.start(s, fault.SinceArrival(ctx, now), now)
}

// Renew extends all of a cell's leases and reports what changed.
func (w *Worker) Renew(_ context.Context, r platform.Renew) (platform.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.renew(r, w.advance())
}

// Release ends a lease, or bars its id.
func (w *Worker) Release(_ context.Context, r platform.Release) (platform.Released, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	out, err := w.state.release(r, now)
	w.notify()
	return out, err
}

// Control checkpoints, throttles or stops a task.
func (w *Worker) Control(_ context.Context, c platform.Control) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	err := w.state.control(c, w.advance())
	w.notify()
	return err
}

// List returns the leases and recent endings of a scope.
func (w *Worker) List(_ context.Context, scope model.Scope) (platform.Listing, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.list(scope, w.advance())
}

// Wait waits until the lease's task has ended and returns its ending.
func (w *Worker) Wait(ctx context.Context, id model.LeaseID) (platform.Ending, error) {
	for {
		ending, changed, next, err := w.endingOrNext(id)
		if err != nil {
			return platform.Ending{}, err
		}
		if ending != nil {
			return *ending, nil
		}
		timer := time.NewTimer(next)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return platform.Ending{}, eris.Wrap(platform.ErrUnclear, ctx.Err().Error())
		}
		timer.Stop()
	}
}

// endingOrNext returns a lease's ending if it has ended. Otherwise it returns what
// to wait for: a channel that is closed on a change, and the time until the next end.
func (w *Worker) endingOrNext(id model.LeaseID) (*platform.Ending, <-chan struct{}, time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	if e := w.state.ending(id); e != nil {
		return e, nil, 0, nil
	}
	l, ok := w.state.leases[id]
	if !ok {
		return nil, nil, 0, eris.Wrap(platform.ErrNotFound, "no such lease")
	}
	at, _ := l.nextEnd()
	return nil, w.changed, at.Sub(now), nil
}
