package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/loopback"
)

// ErrSetup means that the soak itself could not be set up.
var ErrSetup = eris.New("soak setup")

// machine is one machine of the system: a process with its own way to the store,
// which others reach over a proxy.
type machine struct {
	name     string
	dir      string
	settings string
	front    string
	ready    string
	store    *Proxy
	links    *Proxy
	cmd      *exec.Cmd
	log      *os.File
	// ended is closed when the process has ended.
	ended chan struct{}
}

// newMachine writes the settings of a machine; nothing runs yet.
func newMachine(dir string, host *loopback.Host, n int, store string, seeds []string, control string, links *Proxy) (*machine, error) {
	m := &machine{name: fmt.Sprintf("front-%d", n), dir: dir, links: links}
	var err error
	if m.store, err = NewProxy(host, store); err != nil {
		return nil, eris.Wrap(ErrSetup, err.Error())
	}
	var ports []string
	for range 3 {
		a, err := host.FreeAddr()
		if err != nil {
			return nil, err
		}
		ports = append(ports, a)
	}
	m.front, m.ready = ports[0], ports[1]
	_, metrics, _ := strings.Cut(ports[2], ":")
	text := fmt.Sprintf(`node = %q
ip = %q
zone = "z%d"
region = "home"
port_range = [%s, %s]
seeds = [%s]
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.4
memory_mb = 284
[bounds]
hold_max_ms = 6000
stop_ms = 200
gang_ms = 3000
early_ms = 250
far_x = 3
restore_ms = 100
status_s = 120
grace_s = 4
[platform]
addr = %q
`, m.name, host.IP(), n%3, metrics, metrics, `"`+strings.Join(seeds, `","`)+`"`, m.front, m.ready, control, m.store.Addr())
	m.settings = filepath.Join(dir, m.name+".toml")
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return nil, eris.Wrap(ErrSetup, err.Error())
	}
	m.log, err = os.OpenFile(filepath.Join(dir, m.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, eris.Wrap(ErrSetup, err.Error())
	}
	return m, nil
}

// start starts the machine's process if none runs.
func (m *machine) start(program string) error {
	if m.running() {
		return nil
	}
	m.cmd = exec.Command(program)
	m.cmd.Env = append(os.Environ(), "COLTSFOOTMUX_NODE_FILE="+m.settings, "COLTSFOOTMUX_ADVERTISE="+m.links.Addr())
	m.cmd.Stdout, m.cmd.Stderr = m.log, m.log
	if err := m.cmd.Start(); err != nil {
		return eris.Wrap(ErrSetup, err.Error())
	}
	ended, cmd := make(chan struct{}), m.cmd
	m.ended = ended
	go func() {
		_ = cmd.Wait() // killed processes end with an error
		close(ended)
	}()
	return nil
}

func (m *machine) running() bool {
	if m.cmd == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process that the soak started.
func (m *machine) signal(s syscall.Signal) {
	if m.running() {
		_ = m.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	if !m.running() {
		return
	}
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
	select {
	case <-m.ended:
	case <-time.After(5 * time.Second):
	}
}

func (m *machine) close() {
	m.kill()
	m.store.Close()
	m.links.Close()
	_ = m.log.Close()
}
