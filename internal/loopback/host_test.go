package loopback

import (
	"net"
	"os"
	"testing"
)

// TestProcessesHaveDistinctAddresses guards against a process that answers in place
// of another, because it took the other's port while that process was down.
func TestProcessesHaveDistinctAddresses(t *testing.T) {
	seen := make(map[string]int)
	for pid := 1; pid < 1<<18; pid++ {
		ip := New(pid).IP()
		if other, taken := seen[ip]; taken {
			t.Fatalf("processes %d and %d share %s", other, pid, ip)
		}
		seen[ip] = pid
	}
}

// TestFreeAddrReturnsNoPortTwice guards against a program that can't listen because
// its port was also given to another program.
func TestFreeAddrReturnsNoPortTwice(t *testing.T) {
	h := New(os.Getpid())
	seen := make(map[string]bool)
	for range 2000 {
		a, err := h.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		if seen[a] {
			t.Fatalf("%s was returned twice", a)
		}
		seen[a] = true
	}
}

// TestOutgoingConnectionsUseNoPortOfHost guards against a program that can't listen
// because an outgoing connection of another process occupies its port.
func TestOutgoingConnectionsUseNoPortOfHost(t *testing.T) {
	h := New(os.Getpid())
	ln, err := h.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if from := c.LocalAddr().(*net.TCPAddr).IP.String(); from == h.IP() {
		t.Errorf("the connection comes from %s", from)
	}
}
