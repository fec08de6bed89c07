package soak

import (
	"net"
	"slices"
	"sync"
	"time"

	"coltsfootmux/internal/loopback"
)

// Mode is what a proxy does with the bytes that it receives.
type Mode int

// The modes of a proxy.
const (
	Pass Mode = iota
	// Delay delays every chunk by delayTime.
	Delay
	// DropAll drops all bytes in both directions and keeps connections open.
	DropAll
	// DropRequests drops only the bytes to the target.
	DropRequests
	// DropReplies drops only the bytes from the target.
	DropReplies
	// Reset resets connections and accepts no new ones.
	Reset
)

// modeNames are the modes in words, in their order.
var modeNames = [...]string{"passes", "delays", "drops all", "drops requests", "drops replies", "resets"}

func (m Mode) String() string { return modeNames[m] }

// readBufferBytes bounds what a proxy takes from a sender before it passes it on.
const readBufferBytes = 64 << 10

// delayTime is how long a proxy in mode Delay holds a chunk.
const delayTime = 150 * time.Millisecond

// Proxy is a TCP proxy on loopback.
type Proxy struct {
	ln     net.Listener
	target string
	route  route

	mu   sync.Mutex
	mode Mode
	// conns holds the open connections and who called.
	conns map[net.Conn]string
}

// route is the way through the network that the connections of a proxy take.
type route struct {
	network *network
	// caller names who opened a connection; target names the other end.
	caller func(net.Conn) string
	target string
}

// NewProxy starts a proxy to a target address, on a port of host.
func NewProxy(host *loopback.Host, target string, r route) (*Proxy, error) {
	ln, err := host.Listen()
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, route: r, conns: make(map[net.Conn]string)}
	r.network.join(p)
	go p.serve()
	return p, nil
}

// Addr returns the address to connect to.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// SetMode changes the mode. A connection that dropped bytes goes on dropping them
// in later modes, as it does when a device on the path has lost its state.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	p.mode = m
	p.mu.Unlock()
	p.resetConns()
}

// resetConns resets the connections for which mode Reset holds.
func (p *Proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c, caller := range p.conns {
		if p.modeFor(caller) != Reset {
			continue
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
		delete(p.conns, c)
	}
}

func (p *Proxy) currentMode(caller string) Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.modeFor(caller)
}

// modeFor returns the mode that holds for a caller; p.mu must be held. A partition takes
// precedence over the proxy's own mode.
func (p *Proxy) modeFor(caller string) Mode {
	if m := p.route.network.modeBetween(caller, p.route.target); m != Pass {
		return m
	}
	return p.mode
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.SetMode(Reset)
}

func (p *Proxy) serve() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.connect(c)
	}
}

func (p *Proxy) connect(c net.Conn) {
	caller := p.route.caller(c)
	if p.currentMode(caller) == Reset {
		_ = c.Close()
		return
	}
	t, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	for _, end := range []net.Conn{c, t} {
		_ = end.(*net.TCPConn).SetReadBuffer(readBufferBytes)
	}
	p.mu.Lock()
	p.conns[c], p.conns[t] = caller, caller
	p.mu.Unlock()
	p.resetConns() // the mode may have changed meanwhile
	go p.forward(t, c, caller, false)
	p.forward(c, t, caller, true)
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
}

// forward copies one direction, in the mode that holds for each chunk.
func (p *Proxy) forward(to, from net.Conn, caller string, replies bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 32<<10)
	discard := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		m := p.currentMode(caller)
		if m == Delay {
			time.Sleep(delayTime)
		}
		discard = discard || m == DropAll || (m == DropReplies && replies) || (m == DropRequests && !replies)
		if discard {
			continue
		}
		if err := p.write(to, buf[:n], caller, replies); err != nil {
			return
		}
	}
}

// segmentBytes is the size of the pieces in which connections share a narrow path.
const segmentBytes = 4 << 10

// write writes what was read, no faster than the paths of both ends allow.
func (p *Proxy) write(to net.Conn, b []byte, caller string, replies bool) error {
	sender, receiver := caller, p.route.target
	if replies {
		sender, receiver = receiver, sender
	}
	for piece := range slices.Chunk(b, segmentBytes) {
		p.route.network.awaitTurn(sender, receiver, len(piece))
		if _, err := to.Write(piece); err != nil {
			return err
		}
	}
	return nil
}
