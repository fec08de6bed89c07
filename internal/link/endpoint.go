package link

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"coltsfootmux/internal/link/core"
)

// endpoint is an address that a pool calls, with its link or dial if there is one.
type endpoint struct {
	pool *Pool
	addr string
	// lastUsed is when it was last called; guarded by the pool's mutex.
	lastUsed time.Time

	mu          sync.Mutex
	active      *clientLink
	pendingDial *dialAttempt
	closed      bool
	// attempt is the number of dials so far.
	attempt uint32
	redial  core.Redial
}

// disconnected reports whether there is neither a link nor a dial in progress.
func (e *endpoint) disconnected() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pendingDial == nil && (e.active == nil || e.active.ctx.Err() != nil)
}

// dialAttempt is a dial in progress. Its result is set when done is closed.
type dialAttempt struct {
	done chan struct{}
	link *clientLink
	err  error
}

// link returns the endpoint's link and dials one if there is none. Between a failed
// dial, or links that carried nothing, and the next dial it fails at once with
// ErrNotExecuted. While a dial that
// follows a failed one is in progress it waits at most redialWait, so that an
// unresponsive host delays only its first callers by the dial timeout.
func (e *endpoint) link(ctx context.Context) (*clientLink, error) {
	e.mu.Lock()
	if l := e.active; l != nil && l.ctx.Err() == nil {
		e.mu.Unlock()
		return l, nil
	}
	d, err := e.startDial()
	failed := e.redial.Failing()
	e.mu.Unlock()
	if err != nil {
		return nil, err
	}
	var timeout <-chan time.Time
	if failed {
		timeout = time.After(redialWait)
	}
	select {
	case <-d.done:
		return d.link, d.err
	case <-timeout:
		return nil, eris.Wrapf(ErrNotExecuted, "%s is being dialled again", e.addr)
	case <-ctx.Done():
		return nil, eris.Wrap(ErrNotExecuted, ctx.Err().Error())
	}
}

// startDial returns the dial in progress or starts one; e.mu is held.
func (e *endpoint) startDial() (*dialAttempt, error) {
	if e.closed {
		return nil, eris.Wrap(ErrNotExecuted, errClosed.Error())
	}
	if e.pendingDial != nil {
		return e.pendingDial, nil
	}
	e.settle()
	if !e.redial.MayDial(time.Now()) {
		return nil, eris.Wrapf(ErrNotExecuted, "%s can't be reached; waiting to dial it again", e.addr)
	}
	e.attempt++
	d := &dialAttempt{done: make(chan struct{})}
	e.pendingDial = d
	e.pool.wg.Go(func() { e.run(d, e.attempt) })
	return d, nil
}

// settle takes the end of the last link into account; e.mu is held.
func (e *endpoint) settle() {
	if e.active == nil || e.active.ctx.Err() == nil {
		return
	}
	e.redial.Ended(time.Now(), e.active.end(), e.pool.jitter())
	e.active = nil
}

// run dials and then serves the link until it ends.
func (e *endpoint) run(d *dialAttempt, attempt uint32) {
	l, err := e.connect(attempt)
	e.mu.Lock()
	e.pendingDial = nil
	if err != nil {
		e.redial.DialFailed(time.Now(), e.pool.jitter())
		d.err = eris.Wrapf(ErrNotExecuted, "dial %s: %v", e.addr, err)
	} else {
		e.redial.Opened()
		e.active = l
		d.link = l
	}
	closed, failures := e.closed, e.redial.FailedDials()
	e.mu.Unlock()
	close(d.done)
	if err != nil {
		e.logFailure(err, failures)
		return
	}
	if closed {
		l.cancel()
	}
	l.run()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
}

// logFailure logs the first of consecutive failed dials at a level that operators see.
func (e *endpoint) logFailure(err error, failures int) {
	dialFailures.Inc()
	ev := evDialFailed
	if failures > 1 {
		ev = evRedialFailed
	}
	ev.Log(context.Background(), e.pool.opts.Logger, slog.String("addr", e.addr), slog.String("error", err.Error()))
}

func (e *endpoint) connect(attempt uint32) (*clientLink, error) {
	o := &e.pool.opts
	ctx, cancel := limitDial(o.DialTimeout)
	defer cancel()
	h := http.Header{}
	e.pool.self.setHeaders(h)
	if o.Secret != "" {
		h.Set("Authorization", "Bearer "+o.Secret)
	}
	ws, resp, err := websocket.Dial(ctx, "ws://"+e.addr+Path, &websocket.DialOptions{HTTPHeader: h, HTTPClient: dialClient})
	if err != nil {
		return nil, dialError(ctx, err)
	}
	return newClientLink(e.pool, ws, e.addr, attempt, peerFromHeaders(resp.Header)), nil
}

// dialClient opens a new connection for each link and uses no proxy.
var dialClient = &http.Client{Transport: &http.Transport{
	DialContext: (&net.Dialer{Control: limitUnsentOf}).DialContext,
}}

func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.active != nil {
		e.active.cancel()
	}
}
