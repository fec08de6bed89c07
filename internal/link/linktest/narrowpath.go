package linktest

import (
	"net"
	"testing"
	"time"
)

// narrowPathBytes is what a narrow path passes on at a time.
const narrowPathBytes = 1 << 10

// narrowPathBuffer is what a narrow path holds in its socket.
const narrowPathBuffer = 8 << 10

// NewNarrowPath starts a TCP proxy to an address and returns its own address. Towards the one who
// connects it passes on a number of bytes a second, in the other direction all at once. It accepts
// connections until the test ends.
func NewNarrowPath(t *testing.T, to string, bytesPerSecond int) (addr string) {
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
			d, err := net.Dial("tcp", to)
			if err != nil {
				_ = c.Close()
				continue
			}
			_ = d.(*net.TCPConn).SetReadBuffer(narrowPathBuffer)
			go passOn(d, c, 0)
			go passOn(c, d, bytesPerSecond)
		}
	}()
	return ln.Addr().String()
}

// passOn copies from src to dst until either ends; a rate of 0 is without bound.
func passOn(dst, src net.Conn, bytesPerSecond int) {
	defer dst.Close()
	defer src.Close()
	buf := make([]byte, narrowPathBytes)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if bytesPerSecond > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(bytesPerSecond))
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}
