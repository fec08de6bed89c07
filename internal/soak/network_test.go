package soak

import (
	"io"
	"testing"
	"time"
)

// TestPathsBetweenTwoEndsOnly guards against a fault of one end's paths that acts on others, or
// in both directions where it should in one.
func TestPathsBetweenTwoEndsOnly(t *testing.T) {
	r := cutFrom("a", []string{"b"}, DropRequests, DropReplies)
	for _, c := range []struct {
		caller, target string
		want           Mode
	}{
		{"a", "b", DropRequests},
		{"b", "a", DropReplies},
		{"a", "c", Pass},
		{"c", "b", Pass},
	} {
		var n network
		n.setRule("one way", r)
		if got := n.modeBetween(c.caller, c.target); got != c.want {
			t.Errorf("%s to %s %v, want %v", c.caller, c.target, got, c.want)
		}
		n.setRule("one way", nil)
		if got := n.modeBetween(c.caller, c.target); got != Pass {
			t.Errorf("%s to %s %v after the fault", c.caller, c.target, got)
		}
	}
}

// TestNarrowPathIsSharedByAllConnections guards against a rate for each connection.
func TestNarrowPathIsSharedByAllConnections(t *testing.T) {
	const bytes, perSecond = 32 << 10, 64 << 10
	var n network
	p := newEchoProxy(t, &n)
	n.narrow("echo", perSecond)
	began := time.Now()
	ended := make(chan error, 2)
	for range cap(ended) {
		c := dialEcho(t, p, "127.0.0.1")
		go func() {
			go func() { _, _ = c.Write(make([]byte, bytes)) }()
			_, err := io.ReadFull(c, make([]byte, bytes))
			ended <- err
		}()
	}
	for range cap(ended) {
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	}
	const least = time.Second * (2*bytes - segmentBytes) / perSecond
	if d := time.Since(began); d < least {
		t.Errorf("took %v, want %v at least", d, least)
	}
}
