package link

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
)

// target is an address that a pool calls, with its link if there is one.
type target struct {
	pool *Pool
	addr string
	// used is when it was last called; guarded by the pool's mutex.
	used time.Time

	mu      sync.Mutex
	current *dialled
	dial    *dial
	closed  bool
	// attempt counts the links dialled.
	attempt uint32
	// failures counts the dials that failed in a row; until then no new one starts.
	failures int
	until    time.Time
}

// unlinked reports whether there is neither a link nor a dial under way.
func (t *target) unlinked() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dial == nil && (t.current == nil || t.current.ctx.Err() != nil)
}

// dial is a dial under way.
type dial struct {
	done chan struct{}
	link *dialled
	err  error
}

// link gives the target's link and dials it when there is none. While the
// target is backing off, calls fail at once with ErrNotSent; while it is dialled
// again after a failure they wait only a little, so that a host that answers
// nothing holds up its first callers and no others.
func (t *target) link(ctx context.Context) (*dialled, error) {
	t.mu.Lock()
	if l := t.current; l != nil && l.ctx.Err() == nil {
		t.mu.Unlock()
		return l, nil
	}
	d, err := t.start()
	failed := t.failures > 0
	t.mu.Unlock()
	if err != nil {
		return nil, err
	}
	var late <-chan time.Time
	if failed {
		late = time.After(redialPatience)
	}
	select {
	case <-d.done:
		return d.link, d.err
	case <-late:
		return nil, eris.Wrapf(ErrNotExecuted, "%s is being dialled again", t.addr)
	case <-ctx.Done():
		return nil, eris.Wrap(ErrNotExecuted, ctx.Err().Error())
	}
}

// start joins the dial under way or starts one; t.mu is held.
func (t *target) start() (*dial, error) {
	if t.closed {
		return nil, eris.Wrap(ErrNotExecuted, errClosed.Error())
	}
	if t.dial != nil {
		return t.dial, nil
	}
	if time.Now().Before(t.until) {
		return nil, eris.Wrapf(ErrNotExecuted, "%s can't be reached; dialled again soon", t.addr)
	}
	t.attempt++
	d := &dial{done: make(chan struct{})}
	t.dial = d
	t.pool.wg.Go(func() { t.run(d, t.attempt) })
	return d, nil
}

// run dials and then serves the link until it ends.
func (t *target) run(d *dial, attempt uint32) {
	l, err := t.connect(attempt)
	t.mu.Lock()
	t.dial = nil
	if err != nil {
		t.failures++
		t.until = time.Now().Add(t.pool.backoff(t.failures))
		d.err = eris.Wrapf(ErrNotExecuted, "dial %s: %v", t.addr, err)
	} else {
		t.failures = 0
		t.current = l
		d.link = l
	}
	closed, failures := t.closed, t.failures
	t.mu.Unlock()
	close(d.done)
	if err != nil {
		t.logFailure(err, failures)
		return
	}
	if closed {
		l.cancel()
	}
	l.run()
}

// logFailure logs the first failed dial of a row where operators see it.
func (t *target) logFailure(err error, inRow int) {
	dialFailures.Inc()
	ev := evDial
	if inRow > 1 {
		ev = evDialAgain
	}
	ev.Log(context.Background(), t.pool.opts.Logger, slog.String("addr", t.addr), slog.String("error", err.Error()))
}

func (t *target) connect(attempt uint32) (*dialled, error) {
	o := &t.pool.opts
	ctx, cancel := context.WithTimeout(context.Background(), o.DialTimeout)
	defer cancel()
	h := http.Header{}
	t.pool.self.set(h)
	if o.Secret != "" {
		h.Set("Authorization", "Bearer "+o.Secret)
	}
	ws, resp, err := websocket.Dial(ctx, "ws://"+t.addr+Path, &websocket.DialOptions{HTTPHeader: h, HTTPClient: dialClient})
	if err != nil {
		return nil, err
	}
	return newDialled(t.pool, ws, t.addr, attempt, peerOf(resp.Header)), nil
}

// dialClient makes each link's connection anew and uses no proxy.
var dialClient = &http.Client{Transport: &http.Transport{}}

func (t *target) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	if t.current != nil {
		t.current.cancel()
	}
}

// backoff gives the wait after n failed dials, with jitter over its whole span.
func (p *Pool) backoff(n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	top := min(dialBackoffMin<<min(n-1, 10), dialBackoffMax)
	return dialBackoffMin/2 + time.Duration(p.rand.Int64N(int64(top)))
}
