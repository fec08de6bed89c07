package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"coltsfootmux/internal/loopback"
)

// ErrSetup means that the soak itself could not be set up.
var ErrSetup = eris.New("soak setup")

// machine is a machine of the system: one process, with a proxy in its connection
// to the store and a proxy through which the other machines reach it.
type machine struct {
	name         string
	dir          string
	settingsFile string
	callerAddr   string
	readyAddr    string
	storeProxy   *Proxy
	linkProxy    *Proxy
	adviceProxy  *Proxy // nil if there is no advice service
	log          *os.File
	// kills counts the SIGKILLs that the soak has sent.
	kills atomic.Int64

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
}

// grace is how long a process may take to end after a SIGTERM.
const grace = 6 * time.Second

func machineName(n int) string { return fmt.Sprintf("front-%d", n) }

// paths are the proxies in the connections of a machine; advice is nil if there is no such service.
type paths struct{ store, link, advice *Proxy }

// size is what the settings file says of a machine.
type size struct {
	cpuShare float64
	memoryMB int
	maxFiles int
	linkMbps int
}

// Sizes of machines. Under the mixed load they are uneven.
var (
	plainSize  = size{cpuShare: 0.4, memoryMB: 284}
	mixedSizes = [...]size{
		{0.8, 536, 8192, 200},
		{0.144, 144, 3075, 10},
		{0.144, 144, 3075, 10},
		{0.8, 536, 8192, 200},
		{0.144, 144, 3075, 10},
		{0.48, 424, 10250, 10},
		{0.144, 144, 3075, 10},
	}
)

// sizeOf returns the size of the machine with a number.
func sizeOf(o Options, n int) size {
	if o.Mixed {
		return mixedSizes[n%len(mixedSizes)]
	}
	return plainSize
}

// settingsOf returns the lines of a machine's settings file that depend on the options.
func settingsOf(o Options, n int, advice *Proxy) (top, limits string) {
	s := sizeOf(o, n)
	limits = fmt.Sprintf("cpu_share = %g\nmemory_mb = %d\n", s.cpuShare, s.memoryMB)
	if o.Mixed {
		limits += fmt.Sprintf("max_fds = %d\nlink_mbps = %d\n", s.maxFiles, s.linkMbps)
		top = fmt.Sprintf("advice = %q\n", advice.Addr())
	}
	return top, limits
}

// newMachine writes the settings file of a machine and starts no process.
func newMachine(o Options, host *loopback.Host, n int, seeds []string, controlAddr string, p paths) (*machine, error) {
	m := &machine{name: machineName(n), dir: o.Dir, storeProxy: p.store, linkProxy: p.link, adviceProxy: p.advice}
	top, limits := settingsOf(o, n, p.advice)
	var ports []string
	for range 3 {
		a, err := host.FreeAddr()
		if err != nil {
			return nil, err
		}
		ports = append(ports, a)
	}
	m.callerAddr, m.readyAddr = ports[0], ports[1]
	_, metrics, _ := strings.Cut(ports[2], ":")
	text := fmt.Sprintf(`node = %q
ip = %q
zone = "z%d"
region = "home"
port_range = [%s, %s]
seeds = [%s]
%s[listen]
front = %q
ready = %q
control = %q
[limits]
%s[bounds]
hold_max_ms = 6000
stop_ms = 200
gang_ms = 3000
early_ms = 250
far_x = %d
restore_ms = 100
status_s = 120
grace_s = %g
[platform]
addr = %q
record_bytes = %d
call_bytes = %d
`, m.name, host.IP(), n%3, metrics, metrics, `"`+strings.Join(seeds, `","`)+`"`, top, m.callerAddr, m.readyAddr, controlAddr, limits, farFactor, grace.Seconds(), m.storeProxy.Addr(), storeLimits(o).RecordBytes, storeLimits(o).AppendBytes)
	m.settingsFile = filepath.Join(m.dir, m.name+".toml")
	if err := os.WriteFile(m.settingsFile, []byte(text), 0o600); err != nil {
		return nil, eris.Wrap(ErrSetup, err.Error())
	}
	var err error
	m.log, err = os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, eris.Wrap(ErrSetup, err.Error())
	}
	return m, nil
}

// start starts the machine's process unless it is running.
func (m *machine) start(program string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running() {
		return nil
	}
	m.cmd = exec.Command(program)
	m.cmd.Env = append(append(os.Environ(), switches...), "COLTSFOOTMUX_NODE_FILE="+m.settingsFile, "COLTSFOOTMUX_ADVERTISE="+m.linkProxy.Addr())
	m.cmd.Stdout, m.cmd.Stderr = m.log, m.log
	if err := m.cmd.Start(); err != nil {
		return eris.Wrap(ErrSetup, err.Error())
	}
	exited, cmd := make(chan struct{}), m.cmd
	m.exited = exited
	go func() {
		_ = cmd.Wait() // a killed process returns an error
		close(exited)
	}()
	return nil
}

// running reports whether the process runs; m.mu must be held.
func (m *machine) running() bool {
	if m.cmd == nil {
		return false
	}
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// pid returns the id of the process, or 0 if there is none.
func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.running() {
		return 0
	}
	return m.cmd.Process.Pid
}

// signal sends a signal to the process that the soak started.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running() {
		_ = m.cmd.Process.Signal(s)
	}
}

// stopTimeout bounds the wait for a stop, which another fault may end before it is seen.
const stopTimeout = 100 * time.Millisecond

// stop stops the process and waits until it has stopped. After the signal alone its threads may run on for
// a moment.
func (m *machine) stop() {
	m.signal(syscall.SIGSTOP)
	pid := m.pid()
	if pid == 0 {
		return
	}
	for end := time.Now().Add(stopTimeout); time.Now().Before(end); time.Sleep(100 * time.Microsecond) {
		var info unix.Siginfo
		err := unix.Waitid(unix.P_PID, pid, &info, unix.WSTOPPED|unix.WEXITED|unix.WNOWAIT|unix.WNOHANG, nil)
		if err != nil && err != unix.EINTR || info.Signo != 0 {
			return
		}
	}
}

// kill kills the process and waits for its exit.
func (m *machine) kill() {
	m.mu.Lock()
	running := m.running()
	if running {
		m.kills.Add(1)
	}
	m.mu.Unlock()
	if !running {
		return
	}
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
	m.awaitExit(5 * time.Second)
}

// awaitExit waits until the process has exited, or until the time is over.
func (m *machine) awaitExit(limit time.Duration) {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(limit):
	}
}

func (m *machine) close() {
	m.kill()
	m.storeProxy.Close()
	m.linkProxy.Close()
	if m.adviceProxy != nil {
		m.adviceProxy.Close()
	}
	_ = m.log.Close()
}
