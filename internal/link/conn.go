package link

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/coder/websocket"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/link/frame"
)

// machine is the core that a connection drives.
type machine interface {
	Step(now time.Time, ev core.Event) []core.Action
}

// conn moves frames between a WebSocket and a core. Events and their actions
// are serialised by mu.
type conn struct {
	ws     *websocket.Conn
	counts *counters
	cross  bool
	tick   time.Duration

	mu   sync.Mutex
	core machine
	// act does what a side has of its own; it is called with mu held and doesn't block.
	act func(core.Action)

	ready  chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	// reason says why the connection ended; condemned that it was found bad.
	reason    string
	condemned bool
}

// ticksPerBeat is how often in a heartbeat's time a core gets a Tick.
const ticksPerBeat = 2

func newConn(ws *websocket.Conn, l core.Limits, n *counters, cross bool) *conn {
	ws.SetReadLimit(frame.MaxBytes)
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{
		ws: ws, counts: n, cross: cross, tick: l.HeartbeatInterval / ticksPerBeat,
		ready: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
	}
}

// run moves frames until the connection ends, and then tells the core so.
func (c *conn) run() {
	var wg sync.WaitGroup
	wg.Go(c.readAll)
	wg.Go(c.writeAll)
	wg.Go(c.tickAll)
	<-c.ctx.Done()
	_ = c.ws.CloseNow()
	wg.Wait()
	c.step(core.Down{})
}

// logEnd logs and counts the end of a connection that run has returned from.
func (c *conn) logEnd(l *slog.Logger, attrs ...slog.Attr) {
	ev := evClosed
	if c.condemned {
		ev = evCondemned
		condemned.Inc()
	}
	ev.Log(context.Background(), l, append(attrs, slog.String("reason", c.reason))...)
}

func (c *conn) step(ev core.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.core.Step(time.Now(), ev) {
		c.apply(a)
	}
}

func (c *conn) apply(a core.Action) {
	switch a := a.(type) {
	case core.FramesPending:
		c.wake()
	case core.CloseLink:
		c.reason = a.Reason
		c.condemned = a.Reason != core.CloseReasonIdle && a.Reason != core.CloseReasonDrained
		c.cancel()
	default:
		c.act(a)
	}
}

func (c *conn) wake() {
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

func (c *conn) tickAll() {
	t := time.NewTicker(c.tick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.step(core.Tick{})
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *conn) readAll() {
	defer c.cancel()
	var buf bytes.Buffer
	for {
		f, err := c.read(&buf)
		if err != nil {
			c.blame(err)
			return
		}
		c.step(core.Received{Frame: f})
	}
}

func (c *conn) read(buf *bytes.Buffer) (frame.Frame, error) {
	_, r, err := c.ws.Reader(c.ctx)
	if err != nil {
		return frame.Frame{}, err
	}
	buf.Reset()
	if _, err := io.Copy(buf, r); err != nil {
		return frame.Frame{}, err
	}
	f, err := frame.Decode(buf.Bytes())
	if err != nil {
		return frame.Frame{}, err
	}
	c.counts.received(&f, c.cross, buf.Len())
	return f, nil
}

// blame notes why the connection ends, unless it is known.
func (c *conn) blame(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason == "" {
		c.reason = err.Error()
	}
}

func (c *conn) writeAll() {
	defer c.cancel()
	var buf bytes.Buffer
	for {
		n := c.next()
		switch {
		case n.drained:
			_ = c.ws.Close(websocket.StatusNormalClosure, "")
			return
		case !n.write:
			if !c.await(n.after) {
				return
			}
		default:
			if err := c.write(&buf, &n.frame); err != nil {
				c.blame(err)
				return
			}
		}
	}
}

// turn is what a core said to a Writable event.
type turn struct {
	write   bool
	frame   frame.Frame
	after   time.Duration
	drained bool
}

func (c *conn) next() turn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var n turn
	for _, a := range c.core.Step(time.Now(), core.Writable{}) {
		switch a := a.(type) {
		case core.Write:
			n.write, n.frame = true, a.Frame
		case core.Throttled:
			n.after = a.Wait
		case core.Drained:
			n.drained = true
		default:
			c.apply(a)
		}
	}
	return n
}

// await waits for something to write, for no longer than after when that is
// set. It is false when the connection has ended.
func (c *conn) await(after time.Duration) bool {
	var later <-chan time.Time
	if after > 0 {
		t := time.NewTimer(after)
		defer t.Stop()
		later = t.C
	}
	select {
	case <-c.ready:
	case <-later:
	case <-c.ctx.Done():
		return false
	}
	return true
}

func (c *conn) write(buf *bytes.Buffer, f *frame.Frame) error {
	buf.Reset()
	if err := frame.Encode(buf, f); err != nil {
		return err
	}
	c.counts.sent(f, c.cross, buf.Len())
	return c.ws.Write(c.ctx, websocket.MessageBinary, buf.Bytes())
}
