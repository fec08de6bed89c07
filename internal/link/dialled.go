package link

import (
	"context"
	"log/slog"
	"time"

	"github.com/coder/websocket"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/wire"
)

// dialled is the calling end of one link.
type dialled struct {
	*conn
	pool *Pool
	addr string
	peer Peer
	// waiters holds the open calls; guarded by conn.mu.
	waiters map[core.Ticket]chan ending
	last    core.Ticket
}

// ending is how a call ended.
type ending struct {
	body []byte
	err  error
}

func newDialled(p *Pool, ws *websocket.Conn, addr string, attempt uint32, peer Peer) *dialled {
	l := &dialled{
		conn: newConn(ws, p.opts.Limits, &p.counts, peer.Region != p.self.Region),
		pool: p, addr: addr, peer: peer, waiters: make(map[core.Ticket]chan ending),
	}
	l.core = core.NewDialer(time.Now(), attempt, p.opts.Limits, p.opts.Budget.across(p.self, peer))
	l.act = l.do
	return l
}

func (l *dialled) run() {
	log := l.pool.opts.Logger
	addr := slog.String("addr", l.addr)
	peer := slog.String("peer", string(l.peer.Host))
	evOpened.Log(l.ctx, log, addr, peer)
	l.conn.run()
	l.logEnd(log, addr, peer)
}

func (l *dialled) do(a core.Action) {
	switch a := a.(type) {
	case core.Completed:
		l.finish(a.Ticket, ending{body: a.Body})
	case core.Failed:
		l.finish(a.Ticket, ending{err: callError(a.Reason, a.Text)})
	}
}

func (l *dialled) finish(t core.Ticket, e ending) {
	if w := l.waiters[t]; w != nil {
		delete(l.waiters, t)
		w <- e
	}
}

func (l *dialled) call(ctx context.Context, k wire.Kind, body []byte) ([]byte, error) {
	w := make(chan ending, 1)
	t := l.open(ctx, k, body, w)
	select {
	case e := <-w:
		return e.body, e.err
	case <-ctx.Done():
	}
	l.step(core.CancelCall{Ticket: t})
	e := <-w // the core ends an abandoned call at once
	return e.body, e.err
}

func (l *dialled) open(ctx context.Context, k wire.Kind, body []byte, w chan ending) core.Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	t := l.last
	l.waiters[t] = w
	now := time.Now()
	ev := core.StartCall{Ticket: t, Kind: k, Body: body}
	if until, ok := ctx.Deadline(); ok {
		ev.Timeout = max(until.Sub(now), time.Millisecond)
	}
	for _, a := range l.core.Step(now, ev) {
		l.apply(a)
	}
	return t
}
