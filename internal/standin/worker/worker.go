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

// Worker is a stand-in worker. It is safe for concurrent use. Its methods of
// platform.Worker reach it directly; Handler serves it over HTTP, where also
// the faults of its interface apply.
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

// New makes a worker that has just started.
func New(opts Options) *Worker {
	opts = opts.withDefaults()
	w := &Worker{
		opts:    opts,
		faults:  fault.NewInjector(opts.Clock),
		journal: &journal{},
		changed: make(chan struct{}),
	}
	w.boot(Fault{})
	return w
}

// boot begins a new incarnation; the caller holds the lock or is New.
func (w *Worker) boot(f Fault) {
	w.state = newState(w.opts, w.restarts, w.journal, f, w.opts.Clock())
}

// Restart ends all tasks and forgets everything but the faults in force.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.opts.Clock()
	w.state.advance(now)
	w.state.lost(now)
	w.restarts++
	w.boot(w.state.fault)
	w.wake()
}

// SetFault replaces the faults in force.
func (w *Worker) SetFault(f Fault) {
	w.faults.SetFault(f.Fault)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.fault = f
}

// Fault gives the faults in force.
func (w *Worker) Fault() Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.state.fault
	f.Fault = w.faults.Fault()
	return f
}

// SilenceConnections makes the connections in use go silent for good; new ones work.
func (w *Worker) SilenceConnections() { w.faults.SilenceConnections() }

// Runs gives every task that ever ran here, in the order of their starts.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	w.step()
	w.mu.Unlock()
	return w.journal.all()
}

// step lets pass what was due and gives the time; the caller holds the lock.
func (w *Worker) step() time.Time {
	now := w.opts.Clock()
	if w.state.advance(now) {
		w.wake()
	}
	return now
}

func (w *Worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// Fence raises the scope's epoch and says what the worker knows of it.
func (w *Worker) Fence(_ context.Context, f platform.Fence) (platform.Fenced, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.fence(f, w.step())
}

// Hold gives or renews holds on key groups.
func (w *Worker) Hold(_ context.Context, hs []platform.Hold) ([]platform.Held, error) {
	if len(hs) > protocol.MaxHolds {
		return nil, refuse("too many holds in one message")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.step()
	out := make([]platform.Held, 0, len(hs))
	for _, h := range hs {
		out = append(out, w.state.hold(h, now))
	}
	return out, nil
}

// Grant leases room to the asker.
func (w *Worker) Grant(_ context.Context, g platform.Grant) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.grant(g, w.step())
}

// Start starts the one task of a lease.
func (w *Worker) Start(ctx context.Context, s platform.Start) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.step()
	return w.state.start(s, fault.SinceArrival(ctx, now), now)
}

// Renew extends all of a cell's leases and reports what changed.
func (w *Worker) Renew(_ context.Context, r platform.Renew) (platform.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.renew(r, w.step())
}

// Release ends or bars a lease.
func (w *Worker) Release(_ context.Context, r platform.Release) (platform.Released, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.step()
	out, err := w.state.release(r, now)
	w.wake()
	return out, err
}

// Control checkpoints, throttles or stops a task.
func (w *Worker) Control(_ context.Context, c platform.Control) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	err := w.state.control(c, w.step())
	w.wake()
	return err
}

// List gives the leases and recently ended tasks of a scope.
func (w *Worker) List(_ context.Context, scope model.Scope) (platform.Listing, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.list(scope, w.step())
}

// Wait waits until the lease's task has ended and gives its ending.
func (w *Worker) Wait(ctx context.Context, id model.LeaseID) (platform.Ending, error) {
	for {
		ending, changed, next, err := w.look(id)
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

// look gives a lease's ending, or what to wait for until there is one.
func (w *Worker) look(id model.LeaseID) (*platform.Ending, <-chan struct{}, time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.step()
	if e := w.state.ending(id); e != nil {
		return e, nil, 0, nil
	}
	l, ok := w.state.leases[id]
	if !ok {
		return nil, nil, 0, eris.Wrap(platform.ErrNotFound, "no such lease")
	}
	at, _ := l.next()
	return nil, w.changed, at.Sub(now), nil
}
