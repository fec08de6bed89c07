package httpworker

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/httpcall"
	"coltsfootmux/internal/platform/protocol"
)

// Worker is the client of one worker. Waiting for endings has connections of
// its own, so that many waits never hold up a fence or a renewal.
type Worker struct {
	addr  string
	poll  time.Duration
	call  *httpcall.Caller
	waits *httpcall.Caller
}

var _ platform.Worker = (*Worker)(nil)

func newWorker(addr string, opts Options) *Worker {
	return &Worker{
		addr:  addr,
		poll:  opts.Poll,
		call:  httpcall.New("http://"+addr, opts.call(callConns(opts.MaxConns))),
		waits: httpcall.New("http://"+addr, opts.call(opts.MaxConns-callConns(opts.MaxConns))),
	}
}

// callConns gives the share of the connections that is kept for calls which
// are answered at once.
func callConns(all int) int { return max(all/callShare, 1) }

func (w *Worker) close() {
	w.call.Close()
	w.waits.Close()
}

// Fence raises the scope's epoch and says what the worker knows of it.
func (w *Worker) Fence(ctx context.Context, f platform.Fence) (platform.Fenced, error) {
	var out platform.Fenced
	err := w.call.Post(ctx, protocol.PathFence, 0, f, &out)
	return out, eris.Wrap(err, "fence")
}

// Hold gives or renews holds on key groups; the answers come in the order asked.
func (w *Worker) Hold(ctx context.Context, hs []platform.Hold) ([]platform.Held, error) {
	var out protocol.HoldAnswer
	err := w.call.Post(ctx, protocol.PathHold, 0, protocol.HoldRequest{Holds: hs}, &out)
	if err != nil {
		return nil, eris.Wrap(err, "hold")
	}
	if len(out.Held) != len(hs) {
		return nil, eris.Wrapf(platform.ErrUnclear, "hold: %d answers to %d holds", len(out.Held), len(hs))
	}
	return out.Held, nil
}

// Grant leases room under an id of the asker's choice.
func (w *Worker) Grant(ctx context.Context, g platform.Grant) error {
	err := w.call.Post(ctx, protocol.PathGrant, 0, g, &protocol.Empty{})
	return eris.Wrap(err, "grant")
}

// Start starts the one task of a lease.
func (w *Worker) Start(ctx context.Context, s platform.Start) error {
	err := w.call.Post(ctx, protocol.PathStart, 0, s, &protocol.Empty{})
	return eris.Wrap(err, "start")
}

// Renew extends all of a cell's leases and reports what changed.
func (w *Worker) Renew(ctx context.Context, r platform.Renew) (platform.Report, error) {
	var out platform.Report
	if err := w.call.Post(ctx, protocol.PathRenew, 0, r, &out); err != nil {
		return platform.Report{}, eris.Wrap(err, "renew")
	}
	if err := checkSums(out.Ended); err != nil {
		return platform.Report{}, eris.Wrap(err, "renew")
	}
	return out, nil
}

// Release ends or bars a lease.
func (w *Worker) Release(ctx context.Context, r platform.Release) (platform.Released, error) {
	var out platform.Released
	if err := w.call.Post(ctx, protocol.PathRelease, 0, r, &out); err != nil {
		return platform.Released{}, eris.Wrap(err, "release")
	}
	if out.Ending != nil {
		if err := checkSum(*out.Ending); err != nil {
			return platform.Released{}, eris.Wrap(err, "release")
		}
	}
	return out, nil
}

// Control checkpoints, throttles or stops a task.
func (w *Worker) Control(ctx context.Context, c platform.Control) error {
	err := w.call.Post(ctx, protocol.PathControl, 0, c, &protocol.Empty{})
	return eris.Wrap(err, "control")
}

// List gives the leases and recently ended tasks of a scope.
func (w *Worker) List(ctx context.Context, scope model.Scope) (platform.Listing, error) {
	var out platform.Listing
	if err := w.call.Post(ctx, protocol.PathList, 0, protocol.ListRequest{Scope: scope}, &out); err != nil {
		return platform.Listing{}, eris.Wrap(err, "list")
	}
	if err := checkSums(out.Ended); err != nil {
		return platform.Listing{}, eris.Wrap(err, "list")
	}
	return out, nil
}
