package soak

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"coltsfootmux/internal/loopback"
)

// echoThroughProxy sends a word to an echo server through a proxy in the given mode
// and returns what came back within a second.
func echoThroughProxy(t *testing.T, m Mode) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := NewProxy(loopback.New(os.Getpid()), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	p.SetMode(m)
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(c, "echo"); err != nil {
		return ""
	}
	buf := make([]byte, 4)
	n, _ := io.ReadFull(c, buf)
	return string(buf[:n])
}
