package httpcall

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// trace learns whether a request was ever given a connection. Before that no
// byte of it can have left; after that any may have.
type trace struct{ conn atomic.Bool }

func (t *trace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.conn.Store(true) },
	})
}

func (t *trace) connected() bool { return t.conn.Load() }
