package link

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/coder/websocket"

	"coltsfootmux/internal/link/core"
)

// serverLink is the answering end of one link.
type serverLink struct {
	*conn
	server *Server
	from   Peer
	// cancels are the cancel functions of the running handlers, by call; guarded by
	// conn.mu.
	cancels  map[uint64]context.CancelFunc
	handlers sync.WaitGroup
	memory   *linkMemory
}

func newServerLink(s *Server, ws *websocket.Conn, from Peer) *serverLink {
	l := &serverLink{
		conn:   newConn(ws, s.opts.Limits, &s.counts, from.Region != s.self.Region),
		server: s, from: from, cancels: make(map[uint64]context.CancelFunc),
	}
	l.memory = s.memory.add(l.cancel)
	acceptor := core.NewAcceptor(time.Now(), s.opts.Limits, s.opts.Budget.ifCrossRegion(s.self, from))
	acceptor.LimitMemory(l.memory)
	l.machine = acceptor
	l.performOwn = l.perform
	return l
}

// run serves the link until it ends and its handlers have returned.
func (l *serverLink) run() {
	log := l.server.opts.Logger
	peer := slog.String("peer", string(l.from.Host))
	evOpened.Log(l.ctx, log, peer)
	l.conn.run()
	l.handlers.Wait()
	if l.memory.remove() {
		evEvicted.Log(context.Background(), log, peer)
		evictedLinks.Inc()
	}
	l.logEnd(log, peer)
}

func (l *serverLink) perform(a core.Action) {
	switch a := a.(type) {
	case core.RunHandler:
		l.startHandler(a)
	case core.CancelHandler:
		if cancel := l.cancels[a.Call]; cancel != nil {
			cancel()
		}
	}
}

func (l *serverLink) startHandler(r core.RunHandler) {
	ctx, cancel := context.WithCancel(context.Background())
	if r.Timeout > 0 {
		ctx, cancel = context.WithTimeout(context.Background(), r.Timeout)
	}
	l.cancels[r.Call] = cancel
	l.handlers.Go(func() {
		encode, err := l.runHandler(ctx, r)
		cancel()
		l.mu.Lock()
		delete(l.cancels, r.Call)
		l.mu.Unlock()
		l.answer(r.Call, encode, err)
	})
}

// runHandler returns a function that encodes the answer.
func (l *serverLink) runHandler(ctx context.Context, r core.RunHandler) (encode func() ([]byte, error), err error) {
	h := l.server.handlers[r.Kind]
	if h == nil {
		return nil, errors.New("no handler for " + r.Kind.String())
	}
	return h(ctx, l.from, r.Body)
}

// answer encodes an answer and queues it.
func (l *serverLink) answer(call uint64, encode func() ([]byte, error), err error) {
	l.server.encoding <- struct{}{}
	defer func() { <-l.server.encoding }()
	var body []byte
	if err == nil {
		body, err = encode()
	}
	if err != nil {
		l.step(core.HandlerDone{Call: call, Error: "error: " + err.Error()})
		return
	}
	l.step(core.HandlerDone{Call: call, Body: body})
}
