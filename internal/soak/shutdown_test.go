package soak

import (
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"coltsfootmux/internal/standin/store"
)

func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "coltsfootmux-node")
	if out, err := exec.Command("go", "build", "-o", program, "coltsfootmux/cmd/coltsfootmux-node").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// newSmallTestbed returns a testbed with one machine, whose process has been started, and one
// worker.
func newSmallTestbed(t *testing.T) *testbed {
	t.Helper()
	return newTestbedWith(t, 1)
}

// newTestbedWith returns a testbed with one machine, whose process has been started, and some
// workers.
func newTestbedWith(t *testing.T, workers int) *testbed {
	t.Helper()
	return newTestbedOf(t, Options{Workers: workers})
}

// newTestbedOf returns a testbed with one machine, whose process has been started.
func newTestbedOf(t *testing.T, o Options) *testbed {
	t.Helper()
	if testing.Short() {
		t.Skip("starts a process")
	}
	o.Program, o.Dir, o.Seed, o.Machines, o.LoadTime, o.JobsPerSecond = buildProgram(t), t.TempDir(), 1, 1, time.Second, 1
	s, err := newTestbed(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	return s
}

// TestHangupDuringShutdownCutsNoRequest guards against the end of the process by a SIGHUP that
// comes after a SIGTERM: it cut all open requests, as its handler had been removed when the
// shutdown began.
func TestHangupDuringShutdownCutsNoRequest(t *testing.T) {
	s := newSmallTestbed(t)
	time.Sleep(startupTime)
	m := s.machines[0]
	s.store.SetFault(store.Fault{Silent: true}) // the request stays open until its deadline
	c := newCallers(s)
	status := make(chan int, 1)
	go func() {
		rng := rand.New(rand.NewPCG(1, 1))
		j, body := c.newJob(rng, steadyKey)
		status <- c.call(rng, http.MethodPost, j, body, nil)
	}()
	time.Sleep(300 * time.Millisecond)
	m.signal(syscall.SIGTERM)
	for range 5 {
		time.Sleep(100 * time.Millisecond)
		m.signal(syscall.SIGHUP)
	}
	if got := <-status; got == 0 {
		t.Error("the open request ended without an answer")
	}
	select {
	case <-m.exited:
	case <-time.After(5 * time.Second):
		t.Fatal("the process runs on after its grace period")
	}
	if !m.cmd.ProcessState.Success() {
		t.Errorf("the process ended as %v", m.cmd.ProcessState)
	}
}

// TestClosedLogOutputDoesNotEndTheProcess guards against the end of a process by SIGPIPE when
// whoever reads its log is gone.
func TestClosedLogOutputDoesNotEndTheProcess(t *testing.T) {
	s := newSmallTestbed(t)
	m := s.machines[0]
	m.kill()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	m.log = w
	if err := m.start(s.opts.Program); err != nil {
		t.Fatal(err)
	}
	time.Sleep(startupTime)
	_ = r.Close()
	c := newCallers(s)
	for n := range 5 {
		rng := rand.New(rand.NewPCG(1, uint64(n)))
		j, body := c.newJob(rng, steadyKey)
		if got := c.call(rng, http.MethodPost, j, body, nil); got != http.StatusOK {
			t.Fatalf("submission %d: status %d", n, got)
		}
	}
}

// TestPauseDuringShutdownCutsNoRequest guards against a process that is paused after a SIGTERM
// and, as it goes on, closes connections with requests that it has not read.
func TestPauseDuringShutdownCutsNoRequest(t *testing.T) {
	s := newSmallTestbed(t)
	time.Sleep(startupTime)
	m, c := s.machines[0], newCallers(s)
	const calls = 20
	submit := func(n uint64) int {
		rng := rand.New(rand.NewPCG(2, n))
		j, body := c.newJob(rng, steadyKey)
		return c.call(rng, http.MethodPost, j, body, nil)
	}
	submitAll := func() []int {
		out := make([]int, calls)
		var wg sync.WaitGroup
		for n := range out {
			wg.Go(func() { out[n] = submit(uint64(n)) })
		}
		wg.Wait()
		return out
	}
	submitAll() // leaves open connections
	m.signal(syscall.SIGTERM)
	time.Sleep(1500 * time.Millisecond)
	m.stop()
	statuses := make(chan []int, 1)
	go func() { statuses <- submitAll() }()
	time.Sleep(1500 * time.Millisecond)
	m.signal(syscall.SIGCONT)
	for n, status := range <-statuses {
		if status == 0 {
			t.Errorf("request %d ended without an answer", n)
		}
	}
	for _, v := range c.violations {
		t.Error(v)
	}
}
