package loopback

import (
	"fmt"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrNoPort means that no unused port was found or that the address can't be
// listened on.
var ErrNoPort = eris.New("no free loopback port")

// maxAttempts bounds the search for a port that was not returned before.
const maxAttempts = 100

// Host is a loopback address that no other process uses. Outgoing connections come
// from 127.0.0.1, so they don't occupy its ports. It is safe for concurrent use.
type Host struct {
	ip string

	mu sync.Mutex
	// reserved holds the ports that were returned before.
	reserved map[int]bool
}

// New returns the host of the process with the given id.
func New(pid int) *Host {
	return &Host{
		ip:       fmt.Sprintf("127.%d.%d.%d", 1+pid>>16, pid>>8&0xff, pid&0xff),
		reserved: make(map[int]bool),
	}
}

// IP returns the address without a port.
func (h *Host) IP() string { return h.ip }

// Listen listens on a port that was not returned before. The error wraps ErrNoPort.
func (h *Host) Listen() (net.Listener, error) {
	for range maxAttempts {
		ln, err := net.Listen("tcp", h.ip+":0")
		if err != nil {
			return nil, eris.Wrap(ErrNoPort, err.Error())
		}
		if h.reserve(ln.Addr().(*net.TCPAddr).Port) {
			return ln, nil
		}
		_ = ln.Close()
	}
	return nil, ErrNoPort
}

// FreeAddr returns an address with a port that nothing listens on and that is not
// returned again. The error wraps ErrNoPort.
func (h *Host) FreeAddr() (string, error) {
	ln, err := h.Listen()
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// reserve marks a port as returned and reports whether it was not marked before.
func (h *Host) reserve(port int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reserved[port] {
		return false
	}
	h.reserved[port] = true
	return true
}
