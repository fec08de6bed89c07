package link

import (
	"bufio"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxUnsentBytes bounds what the socket of a link takes before it has sent it. Heartbeats and short
// messages can't pass what is in the socket. Bytes on their way to the peer are not bounded by it.
const maxUnsentBytes = 16 << 10

// limitUnsent sets the bound for a connection. Others than TCP connections are left as they are.
func limitUnsent(c net.Conn) {
	if u, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = u.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := s.SyscallConn(); err == nil {
		_ = limitUnsentOf("", "", raw)
	}
}

// limitUnsentOf is a net.Dialer's Control. A system without the option keeps its own bound.
func limitUnsentOf(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}

// limitedResponse is a response that limits what its connection holds unsent when it is taken over.
type limitedResponse struct{ http.ResponseWriter }

// Hijack implements http.Hijacker.
func (w limitedResponse) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	c, rw, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err == nil {
		limitUnsent(c)
	}
	return c, rw, err
}
