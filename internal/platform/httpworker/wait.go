package httpworker

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/protocol"
)

// waitFailures is how many requests in a row may go without an answer before
// Wait gives up. It only reads, so asking again is always safe.
const waitFailures = 3

// Wait waits until the lease's task has ended and gives its ending. It asks in
// requests of bounded length, so that a connection which has gone silent is
// noticed and replaced.
func (w *Worker) Wait(ctx context.Context, id model.LeaseID) (platform.Ending, error) {
	failures := 0
	for {
		ending, err := w.pollEnding(ctx, id)
		switch {
		case ctx.Err() != nil:
			return platform.Ending{}, eris.Wrap(platform.ErrUnclear, "wait: "+ctx.Err().Error())
		case errors.Is(err, platform.ErrUnclear) && failures < waitFailures:
			failures++
		case err != nil:
			return platform.Ending{}, eris.Wrap(err, "wait")
		case ending != nil:
			return *ending, nil
		default:
			failures = 0
		}
	}
}

func (w *Worker) pollEnding(ctx context.Context, id model.LeaseID) (*platform.Ending, error) {
	var out protocol.WaitAnswer
	in := protocol.WaitRequest{Lease: id, Poll: w.poll}
	if err := w.waits.Post(ctx, protocol.PathWait, w.poll, in, &out); err != nil {
		return nil, err
	}
	if out.Ending == nil {
		return nil, nil
	}
	return out.Ending, checkSum(*out.Ending)
}
