package inbound

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestHeadBeyondTheLimitsIsRefused(t *testing.T) {
	for name, lines := range map[string]string{
		"many lines":            strings.Repeat("A: b\r\n", 200),
		"long lines":            strings.Repeat("A: "+strings.Repeat("b", 1000)+"\r\n", 20),
		"a line without an end": "A: " + strings.Repeat("b", 20_000),
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, 1)
			for round, sent := range []string{"GET / HTTP/1.1\r\nHost: x\r\n", get + "GET / HTTP/1.1\r\nHost: x\r\n"} {
				c := s.dial(t)
				c.send(sent)
				if round > 0 {
					if status := c.answer(); status != http.StatusOK {
						t.Fatalf("status %d before", status)
					}
				}
				c.send(lines)
				if status := c.answer(); status != http.StatusRequestHeaderFieldsTooLarge && status != 0 {
					t.Errorf("status %d", status)
				}
				if !c.closed() {
					t.Error("the connection is open")
				}
			}
		})
	}
}

// TestRefusedHeadGetsOneAnswer guards against a 400 after the refusal of a head of which a part of a line
// had been read before.
func TestRefusedHeadGetsOneAnswer(t *testing.T) {
	s := newTestServer(t, 1)
	c := s.dial(t)
	c.send("GET / HTTP/1.1\r\nHost: x\r\nA")
	time.Sleep(50 * time.Millisecond) // the part is read by itself
	c.send(": b\r\n" + strings.Repeat("A: b\r\n", 200))
	if status := c.answer(); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d", status)
	}
	if rest, err := io.ReadAll(c.in); len(rest) > 0 {
		t.Errorf("%q follows the refusal (%v)", rest, err)
	}
}

func TestHeadsWithinTheLimitsAreServed(t *testing.T) {
	s := newTestServer(t, 1)
	c := s.dial(t)
	lines := strings.Repeat("A: "+strings.Repeat("b", 75)+"\r\n", 100)
	body := strings.Repeat("\n", 100_000)
	for range 3 {
		for _, request := range []string{
			"GET / HTTP/1.1\r\nHost: x\r\n" + lines + "\r\n",
			post("/", body, len(body)),
			"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n" + lines + "\r\n" + strings.Repeat("1\r\n\n\r\n", 1000) + "0\r\n\r\n",
		} {
			c.send(request)
			if status := c.answer(); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
		}
	}
}
