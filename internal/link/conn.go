package link

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/link/frame"
)

// stateMachine is a core.Dialer or core.Acceptor.
type stateMachine interface {
	Step(now time.Time, ev core.Event) []core.Action
}

// conn moves frames between a WebSocket and a state machine. It is the part that
// both ends of a link have in common. Events and their actions are serialised by mu.
type conn struct {
	ws           *websocket.Conn
	counts       *counters
	crossRegion  bool
	tickInterval time.Duration

	mu      sync.Mutex
	machine stateMachine
	// performOwn performs the actions that only one end has. It is called with mu
	// held and must not block.
	performOwn func(core.Action)

	// partialBytes is what has been read of a frame that has not arrived whole.
	partialBytes atomic.Int64

	writeReady chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
	// closeReason is why the connection ended. faulty reports that the state machine
	// closed it because of silence or corrupt messages, orderly that the link was idle or
	// the peer has drained. health is what the state machine knew when it closed it.
	closeReason string
	health      core.Health
	faulty      bool
	orderly     bool
}

func newConn(ws *websocket.Conn, l core.Limits, counts *counters, crossRegion bool) *conn {
	ws.SetReadLimit(frame.MaxBytes)
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{
		ws: ws, counts: counts, crossRegion: crossRegion, tickInterval: l.TickInterval(),
		writeReady: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
	}
}

// run moves frames until the connection ends, and then passes a Down event to the
// state machine.
func (c *conn) run() {
	var wg sync.WaitGroup
	wg.Go(c.readLoop)
	wg.Go(c.writeLoop)
	wg.Go(c.tickLoop)
	<-c.ctx.Done()
	_ = c.ws.CloseNow()
	wg.Wait()
	c.step(core.Down{})
}

// logEnd logs the end of a connection after run has returned, and counts it if it
// was faulty.
func (c *conn) logEnd(l *slog.Logger, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String("reason", c.closeReason))
	if !c.faulty {
		evClosed.Log(context.Background(), l, attrs...)
		return
	}
	faultyLinks.Inc()
	evFailed.Log(context.Background(), l, append(attrs, healthAttrs(c.health)...)...)
}

func healthAttrs(h core.Health) []slog.Attr {
	return []slog.Attr{
		slog.Duration("age", h.Age), slog.Duration("last_frame", h.LastFrame), slog.Duration("last_bytes", h.LastBytes),
		slog.Int("queued_bytes", h.QueuedBytes), slog.Duration("check_late", h.CheckLate),
	}
}

func (c *conn) step(ev core.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.machine.Step(time.Now(), ev) {
		c.apply(a)
	}
}

func (c *conn) apply(a core.Action) {
	switch a := a.(type) {
	case core.FramesPending:
		c.wakeWriter()
	case core.CloseLink:
		c.closeReason, c.health = a.Reason, a.Health
		c.orderly = a.Reason == core.CloseReasonIdle || a.Reason == core.CloseReasonDrained
		c.faulty = !c.orderly
		c.cancel()
	default:
		c.performOwn(a)
	}
}

func (c *conn) wakeWriter() {
	select {
	case c.writeReady <- struct{}{}:
	default:
	}
}

func (c *conn) tickLoop() {
	t := time.NewTicker(c.tickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.step(core.Tick{PartialBytes: int(c.partialBytes.Load())})
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *conn) readLoop() {
	defer c.cancel()
	var buf bytes.Buffer
	for {
		f, err := c.read(&buf)
		if err != nil {
			c.setCloseReason(err)
			return
		}
		c.partialBytes.Store(0)
		c.step(core.Received{Frame: f})
	}
}

func (c *conn) read(buf *bytes.Buffer) (frame.Frame, error) {
	_, r, err := c.ws.Reader(c.ctx)
	if err != nil {
		return frame.Frame{}, err
	}
	buf.Reset()
	if _, err := io.Copy(buf, &partialReader{from: r, read: &c.partialBytes}); err != nil {
		return frame.Frame{}, err
	}
	f, err := frame.Decode(buf.Bytes())
	if err != nil {
		return frame.Frame{}, err
	}
	c.counts.received(&f, c.crossRegion, buf.Len())
	return f, nil
}

// setCloseReason records why the connection ends, unless a reason is already set.
func (c *conn) setCloseReason(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeReason == "" {
		c.closeReason = err.Error()
	}
}

func (c *conn) writeLoop() {
	defer c.cancel()
	var buf bytes.Buffer
	for {
		n := c.nextWrite()
		switch {
		case n.drained:
			_ = c.ws.Close(websocket.StatusNormalClosure, "")
			return
		case !n.write:
			if !c.waitToWrite(n.wait) {
				return
			}
		default:
			if err := c.write(&buf, &n.frame); err != nil {
				c.setCloseReason(err)
				return
			}
		}
	}
}

// writeStep is what follows from a Writable event: a frame to write, the end of a
// drained link, or a wait (0 for until writeReady).
type writeStep struct {
	write   bool
	frame   frame.Frame
	wait    time.Duration
	drained bool
}

func (c *conn) nextWrite() writeStep {
	c.mu.Lock()
	defer c.mu.Unlock()
	var n writeStep
	for _, a := range c.machine.Step(time.Now(), core.Writable{}) {
		switch a := a.(type) {
		case core.Write:
			n.write, n.frame = true, a.Frame
		case core.Throttled:
			n.wait = a.Wait
		case core.Drained:
			n.drained = true
		default:
			c.apply(a)
		}
	}
	return n
}

// waitToWrite waits until there may be a frame to write, or for the limit if that is
// positive. It returns false if the connection has ended.
func (c *conn) waitToWrite(limit time.Duration) bool {
	var timeout <-chan time.Time
	if limit > 0 {
		t := time.NewTimer(limit)
		defer t.Stop()
		timeout = t.C
	}
	select {
	case <-c.writeReady:
	case <-timeout:
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
	c.counts.sent(f, c.crossRegion, buf.Len())
	return c.ws.Write(c.ctx, websocket.MessageBinary, buf.Bytes())
}
