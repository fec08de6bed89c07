package instance

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootmux/internal/external"
)

func TestTransferIsEndedBySilenceAndNotByItsLength(t *testing.T) {
	const first, stall = 3 * time.Second, time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := withStallLimit(t.Context(), first, stall, nil)
		defer cancel()
		time.Sleep(first - time.Millisecond)
		for range 20 {
			external.ReportProgress(ctx)
			time.Sleep(stall - time.Millisecond)
			if ctx.Err() != nil {
				t.Fatal("ended while parts of the answer arrive")
			}
		}
		time.Sleep(2 * time.Millisecond)
		if !errors.Is(context.Cause(ctx), errStalled) {
			t.Errorf("after %v of silence the cause is %v", stall, context.Cause(ctx))
		}
		external.ReportProgress(ctx)
	})
}

func TestCallWithoutAnAnswerIsEnded(t *testing.T) {
	const first = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := withStallLimit(t.Context(), first, time.Second, nil)
		defer cancel()
		time.Sleep(first + time.Millisecond)
		if !errors.Is(context.Cause(ctx), errStalled) {
			t.Errorf("the cause is %v", context.Cause(ctx))
		}
	})
}
