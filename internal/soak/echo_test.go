package soak

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"coltsfootmux/internal/loopback"
)

// newEchoProxy starts an echo server and a proxy to it. Callers have the names of the addresses
// from which they call.
func newEchoProxy(t *testing.T, n *network) *Proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	name := func(c net.Conn) string { return c.RemoteAddr().(*net.TCPAddr).IP.String() }
	p, err := NewProxy(loopback.New(os.Getpid()), ln.Addr().String(), route{network: n, caller: name, target: "echo"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// dialEcho connects to a proxy; the connection is nil if the proxy refuses it.
func dialEcho(t *testing.T, p *Proxy, from string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp", p.Addr())
	if err != nil {
		return nil
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echo sends a word and returns what came back within a second.
func echo(c net.Conn) string {
	if c == nil {
		return ""
	}
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(c, "echo"); err != nil {
		return ""
	}
	buf := make([]byte, 4)
	n, _ := io.ReadFull(c, buf)
	return string(buf[:n])
}

// echoThroughProxy sends a word to an echo server through a proxy in the given mode
// and returns what came back within a second.
func echoThroughProxy(t *testing.T, m Mode) string {
	t.Helper()
	p := newEchoProxy(t, &network{})
	p.SetMode(m)
	return echo(dialEcho(t, p, "127.0.0.1"))
}
