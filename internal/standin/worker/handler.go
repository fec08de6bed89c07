package worker

import (
	"context"
	"errors"
	"net/http"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/protocol"
	"coltsfootmux/internal/standin/fault"
	"coltsfootmux/internal/standin/serve"
)

// Paths that tests and demonstrations use to control the stand-in. The worker's
// faults do not apply to them.
const (
	PathFault   = "/fault"
	PathSilence = "/silence"
	PathRestart = "/restart"
	PathRuns    = "/runs"
)

// Handler returns an HTTP handler for the worker, as docs/PLATFORM.md describes.
func (w *Worker) Handler() http.Handler {
	root := http.NewServeMux()
	root.Handle("/v1/", serve.WithRegionHeader(w.opts.Region, fault.Handler(w.faults, w.api())))
	serve.Handle(root, "POST "+PathFault, func(_ context.Context, f Fault) (protocol.Empty, error) {
		w.SetFault(f)
		return protocol.Empty{}, nil
	})
	serve.Handle(root, "POST "+PathSilence, func(context.Context, protocol.Empty) (protocol.Empty, error) {
		w.SilenceConnections()
		return protocol.Empty{}, nil
	})
	serve.Handle(root, "POST "+PathRestart, func(context.Context, protocol.Empty) (protocol.Empty, error) {
		w.Restart()
		return protocol.Empty{}, nil
	})
	serve.Handle(root, "GET "+PathRuns, func(context.Context, protocol.Empty) ([]Run, error) {
		return w.Runs(), nil
	})
	return root
}

func (w *Worker) api() http.Handler {
	mux := http.NewServeMux()
	serve.Handle(mux, "POST "+protocol.PathFence, w.Fence)
	serve.Handle(mux, "POST "+protocol.PathHold, w.serveHold)
	serve.Handle(mux, "POST "+protocol.PathGrant, noAnswer(w.Grant))
	serve.Handle(mux, "POST "+protocol.PathStart, noAnswer(w.Start))
	serve.Handle(mux, "POST "+protocol.PathWait, w.serveWait)
	serve.Handle(mux, "POST "+protocol.PathRenew, w.Renew)
	serve.Handle(mux, "POST "+protocol.PathRelease, w.Release)
	serve.Handle(mux, "POST "+protocol.PathControl, noAnswer(w.Control))
	serve.Handle(mux, "POST "+protocol.PathList, w.serveList)
	return mux
}

// noAnswer adapts a call that returns nothing but an error.
func noAnswer[In any](call func(context.Context, In) error) func(context.Context, In) (protocol.Empty, error) {
	return func(ctx context.Context, in In) (protocol.Empty, error) {
		return protocol.Empty{}, call(ctx, in)
	}
}

func (w *Worker) serveHold(ctx context.Context, in protocol.HoldRequest) (protocol.HoldAnswer, error) {
	held, err := w.Hold(ctx, in.Holds)
	return protocol.HoldAnswer{Held: held}, err
}

func (w *Worker) serveList(ctx context.Context, in protocol.ListRequest) (platform.Listing, error) {
	return w.List(ctx, in.Scope)
}

// serveWait waits for a limited time. If the task has not ended by then, the
// answer has no ending.
func (w *Worker) serveWait(ctx context.Context, in protocol.WaitRequest) (protocol.WaitAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, min(max(in.Poll, 0), protocol.MaxPoll))
	defer cancel()
	ending, err := w.Wait(ctx, model.LeaseID(in.Lease))
	if errors.Is(err, platform.ErrUnclear) {
		return protocol.WaitAnswer{}, nil
	}
	if err != nil {
		return protocol.WaitAnswer{}, err
	}
	return protocol.WaitAnswer{Ending: &ending}, nil
}
