package instance

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// hostHeader names the process that dials a link.
const hostHeader = "Coltsfootmux-Host"

// linkGate stands before an instance's server of links.
type linkGate struct {
	server http.Handler

	mu sync.Mutex
	// refused are the names of the instances whose links are refused.
	refused map[string]bool
	conns   map[*gatedConn]bool
	// stoppedFor, if set, says for how long from now on the process is stopped, as far as the links
	// of the named instance show; 0 if it runs.
	stoppedFor func(name string) time.Duration
}

func newLinkGate(server http.Handler) *linkGate {
	return &linkGate{server: server, refused: make(map[string]bool), conns: make(map[*gatedConn]bool)}
}

// refuse ends the links of an instance and refuses new ones, or admits them again.
func (g *linkGate) refuse(name string, refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refused[name] = refused
	for c := range g.conns {
		if refused && c.name == name {
			_ = c.Close()
			delete(g.conns, c)
		}
	}
}

// stop stops the process, as far as links show it, for the times that f gives.
func (g *linkGate) stop(f func(name string) time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stoppedFor = f
}

func (g *linkGate) waitWhileStopped(name string) {
	g.mu.Lock()
	f := g.stoppedFor
	g.mu.Unlock()
	if f != nil {
		time.Sleep(f(name))
	}
}

// ServeHTTP serves a link unless it is refused.
func (g *linkGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.Header.Get(hostHeader)
	g.waitWhileStopped(name)
	g.mu.Lock()
	refused := g.refused[name]
	g.mu.Unlock()
	if refused {
		panic(http.ErrAbortHandler)
	}
	g.server.ServeHTTP(&gatedResponse{ResponseWriter: w, gate: g, name: name}, r)
}

// gatedResponse hands out the connection of a link.
type gatedResponse struct {
	http.ResponseWriter
	gate *linkGate
	name string
}

// Hijack implements http.Hijacker.
func (w *gatedResponse) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	h, ok := w.ResponseWriter.(http.Hijacker)
	if !ok {
		return nil, nil, eris.New("no connection to take over")
	}
	conn, rw, err := h.Hijack()
	if err != nil {
		return nil, nil, eris.Wrap(err, "take over the connection")
	}
	c := &gatedConn{Conn: conn, gate: w.gate, name: w.name}
	w.gate.mu.Lock()
	w.gate.conns[c] = true
	w.gate.mu.Unlock()
	return c, bufio.NewReadWriter(rw.Reader, bufio.NewWriter(c)), nil
}

// gatedConn is the connection of a link, which carries nothing while its process is stopped.
type gatedConn struct {
	net.Conn
	gate *linkGate
	name string
}

func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.gate.waitWhileStopped(c.name)
	return n, err
}

func (c *gatedConn) Write(b []byte) (int, error) {
	c.gate.waitWhileStopped(c.name)
	return c.Conn.Write(b)
}
