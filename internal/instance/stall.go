package instance

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/external"
)

// errStalled is the cause of the end of a context of withStallLimit.
var errStalled = eris.New("no part of the answer arrived in time")

// withStallLimit returns a context for calls that may transfer much. It ends if nothing
// has arrived within first, or nothing more within stall after the last part. A limit of
// the whole time would cut large transfers off, which then begin again from nothing.
// onProgress, unless nil, is called when a part arrives.
func withStallLimit(ctx context.Context, first, stall time.Duration, onProgress func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := time.AfterFunc(first, func() { cancel(errStalled) })
	progress := func() {
		if onProgress != nil {
			onProgress()
		}
		if t.Stop() {
			t.Reset(stall)
		}
	}
	return external.WithProgress(ctx, progress), func() {
		t.Stop()
		cancel(nil)
	}
}
