package link

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/link/core"
)

// errDialTimeout is the cause of the end of a context of limitDial.
var errDialTimeout = eris.New("no answer in time")

// limitDial returns a context that ends when a dial that begins now must be given up.
func limitDial(limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(context.Background())
	go watchDial(ctx, cancel, core.NewDialTimer(time.Now(), limit))
	return ctx, func() { cancel(nil) }
}

func watchDial(ctx context.Context, cancel context.CancelCauseFunc, timer core.DialTimer) {
	t := time.NewTicker(timer.Interval())
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		if timer.Expired(time.Now()) {
			cancel(errDialTimeout)
			return
		}
	}
}

// dialError returns the error of a dial, or that it has reached its limit.
func dialError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errDialTimeout) {
		return errDialTimeout
	}
	return err
}
