package httpcall

import (
	"context"
	"io"
	"time"
)

// patienceFactor bounds a whole call, in timeouts: an answer that goes on
// arriving may take that long.
const patienceFactor = 15

// patience ends a call once nothing has arrived for one timeout, or the call as
// a whole has taken too long. A large answer over a slow link needs more than
// one timeout, and a connection that has gone silent should not get it.
type patience struct {
	timer *time.Timer
	each  time.Duration
	end   time.Time
}

// newPatience gives the context of a call that the far side may hold for hold
// before it answers.
func newPatience(ctx context.Context, hold, timeout time.Duration) (context.Context, *patience, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	p := &patience{
		timer: time.AfterFunc(hold+timeout, cancel),
		each:  timeout,
		end:   time.Now().Add(hold + patienceFactor*timeout),
	}
	return ctx, p, func() {
		p.timer.Stop()
		cancel()
	}
}

// progress notes that something has arrived.
func (p *patience) progress() {
	p.timer.Reset(max(min(p.each, time.Until(p.end)), 0))
}

// reader reads an answer and notes its progress.
type reader struct {
	io.Reader
	patience *patience
}

func (r reader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.patience.progress()
	}
	return n, err
}
