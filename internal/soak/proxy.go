package soak

import (
	"net"
	"sync"
	"time"

	"coltsfootmux/internal/loopback"
)

// Mode is what a proxy does to the bytes that pass it.
type Mode int

// The modes of a proxy.
const (
	Pass Mode = iota
	// Delay holds every chunk back for delayTime.
	Delay
	// DropAll swallows everything in both directions and keeps connections open.
	DropAll
	// DropReplies swallows what comes back only.
	DropReplies
	// Reset resets connections and takes no new ones.
	Reset
)

// delayTime is how long a delaying proxy holds a chunk back.
const delayTime = 150 * time.Millisecond

// Proxy is a TCP proxy on loopback.
type Proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// NewProxy makes a proxy to a target address, on a port of host.
func NewProxy(host *loopback.Host, target string) (*Proxy, error) {
	ln, err := host.Listen()
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, conns: make(map[net.Conn]bool)}
	go p.serve()
	return p, nil
}

// Addr gives the address to connect to.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// SetMode changes the mode. Connections that went silent stay so when it ends, as
// something between the two ends has lost track of them.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != Reset {
		return
	}
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *Proxy) get() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// Close ends the proxy and its connections.
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
		go p.join(c)
	}
}

func (p *Proxy) join(c net.Conn) {
	if p.get() == Reset {
		_ = c.Close()
		return
	}
	t, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[t] = true, true
	p.mu.Unlock()
	go p.carry(t, c, false)
	p.carry(c, t, true)
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, t)
	p.mu.Unlock()
}

// carry copies one direction under the mode of the moment.
func (p *Proxy) carry(to, from net.Conn, back bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 32<<10)
	swallow := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		m := p.get()
		if m == Delay {
			time.Sleep(delayTime)
		}
		swallow = swallow || m == DropAll || (m == DropReplies && back)
		if swallow {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
