package loopback

import (
	"fmt"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrNoPort says that no port is left, or that the address can't be listened on.
var ErrNoPort = eris.New("no free loopback port")

// tries bounds the search for a port that was not given before.
const tries = 100

// Host is a loopback address that no other process uses. Outgoing connections
// come from 127.0.0.1, so that they take no port of it either. It is safe for
// concurrent use.
type Host struct {
	ip string

	mu    sync.Mutex
	given map[int]bool
}

// New gives the host of a process id.
func New(pid int) *Host {
	return &Host{
		ip:    fmt.Sprintf("127.%d.%d.%d", 1+pid>>16, pid>>8&0xff, pid&0xff),
		given: make(map[int]bool),
	}
}

// IP gives the address without a port.
func (h *Host) IP() string { return h.ip }

// Listen listens on a port that was not given before. The error wraps ErrNoPort.
func (h *Host) Listen() (net.Listener, error) {
	for range tries {
		ln, err := net.Listen("tcp", h.ip+":0")
		if err != nil {
			return nil, eris.Wrap(ErrNoPort, err.Error())
		}
		if h.take(ln.Addr().(*net.TCPAddr).Port) {
			return ln, nil
		}
		_ = ln.Close()
	}
	return nil, ErrNoPort
}

// FreeAddr gives an address, with its port, that nothing listens on and that is not
// given again. The error wraps ErrNoPort.
func (h *Host) FreeAddr() (string, error) {
	ln, err := h.Listen()
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

func (h *Host) take(port int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.given[port] {
		return false
	}
	h.given[port] = true
	return true
}
