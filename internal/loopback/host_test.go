package loopback

import (
	"net"
	"os"
	"testing"
)

// TestProcessesHaveAddressesOfTheirOwn: a process answered for another's, whose
// port it had taken while that one's process was down.
func TestProcessesHaveAddressesOfTheirOwn(t *testing.T) {
	seen := make(map[string]int)
	for pid := 1; pid < 1<<18; pid++ {
		ip := New(pid).IP()
		if other, taken := seen[ip]; taken {
			t.Fatalf("processes %d and %d share %s", other, pid, ip)
		}
		seen[ip] = pid
	}
}

// TestNoPortIsGivenTwice: a program could not listen, as its port had gone to another.
func TestNoPortIsGivenTwice(t *testing.T) {
	h := New(os.Getpid())
	seen := make(map[string]bool)
	for range 2000 {
		a, err := h.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		if seen[a] {
			t.Fatalf("%s was given twice", a)
		}
		seen[a] = true
	}
}

// TestOutgoingConnectionsTakeNoPort: a program could not listen, as a connection
// of another process came from its port.
func TestOutgoingConnectionsTakeNoPort(t *testing.T) {
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
