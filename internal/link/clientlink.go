package link

import (
	"context"
	"log/slog"
	"time"

	"github.com/coder/websocket"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/wire"
)

// clientLink is the calling end of one link.
type clientLink struct {
	*conn
	dialer *core.Dialer
	pool   *Pool
	addr   string
	peer   Peer
	// waiters receive the results of the open calls; guarded by conn.mu.
	waiters    map[core.Ticket]chan callResult
	lastTicket core.Ticket
}

// callResult is how a call ended.
type callResult struct {
	body []byte
	err  error
}

func newClientLink(p *Pool, ws *websocket.Conn, addr string, attempt uint32, peer Peer) *clientLink {
	l := &clientLink{
		conn: newConn(ws, p.opts.Limits, &p.counts, peer.Region != p.self.Region),
		pool: p, addr: addr, peer: peer, waiters: make(map[core.Ticket]chan callResult),
	}
	l.dialer = core.NewDialer(time.Now(), attempt, p.opts.Limits, p.opts.Budget.ifCrossRegion(p.self, peer))
	l.machine = l.dialer
	l.performOwn = l.perform
	return l
}

func (l *clientLink) run() {
	log := l.pool.opts.Logger
	addr := slog.String("addr", l.addr)
	peer := slog.String("peer", string(l.peer.Host))
	evOpened.Log(l.ctx, log, addr, peer)
	l.conn.run()
	l.logEnd(log, addr, peer)
}

// end returns how the link ended.
func (l *clientLink) end() core.LinkEnd {
	l.mu.Lock()
	defer l.mu.Unlock()
	return core.LinkEnd{Worked: l.dialer.Worked(), Faulty: l.faulty, Orderly: l.orderly}
}

func (l *clientLink) perform(a core.Action) {
	switch a := a.(type) {
	case core.Completed:
		l.finish(a.Ticket, callResult{body: a.Body})
	case core.Failed:
		l.finish(a.Ticket, callResult{err: callError(a.Reason, a.Text)})
	}
}

func (l *clientLink) finish(t core.Ticket, e callResult) {
	if w := l.waiters[t]; w != nil {
		delete(l.waiters, t)
		w <- e
	}
}

func (l *clientLink) call(ctx context.Context, k wire.Kind, body []byte) ([]byte, error) {
	w := make(chan callResult, 1)
	t := l.startCall(ctx, k, body, w)
	select {
	case e := <-w:
		return e.body, e.err
	case <-ctx.Done():
	}
	l.step(core.CancelCall{Ticket: t})
	e := <-w // CancelCall ends an open call at once
	return e.body, e.err
}

func (l *clientLink) startCall(ctx context.Context, k wire.Kind, body []byte, w chan callResult) core.Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastTicket++
	t := l.lastTicket
	l.waiters[t] = w
	now := time.Now()
	ev := core.StartCall{Ticket: t, Kind: k, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		ev.Timeout = max(deadline.Sub(now), time.Millisecond)
	}
	for _, a := range l.machine.Step(now, ev) {
		l.apply(a)
	}
	return t
}
