package soak

import (
	"slices"
	"testing"
	"time"
)

// TestPartitionCutsOnlyTheOtherSide guards against a partition that cuts all callers of a
// process or none: no owner then keeps a term that others replace.
func TestPartitionCutsOnlyTheOtherSide(t *testing.T) {
	const nearAddr, farAddr = "127.0.0.1", "127.0.0.2"
	for name, mode := range map[string]Mode{"silent": DropAll, "refused": Reset} {
		t.Run(name, func(t *testing.T) {
			var n network
			p := newEchoProxy(t, &n)
			near, far := dialEcho(t, p, nearAddr), dialEcho(t, p, farAddr)
			if got := echo(near) + echo(far); got != "echoecho" {
				t.Fatalf("before the partition: %q", got)
			}
			n.partition(mode, map[string]bool{nearAddr: true, "echo": true})
			if got := echo(near); got != "echo" {
				t.Errorf("on the same side: %q", got)
			}
			if got := echo(far); got != "" {
				t.Errorf("from the other side: %q", got)
			}
			if got := echo(dialEcho(t, p, farAddr)); got != "" {
				t.Errorf("new connection from the other side: %q", got)
			}
			n.partition(Pass, nil)
			if got := echo(dialEcho(t, p, farAddr)); got != "echo" {
				t.Errorf("after healing: %q", got)
			}
		})
	}
}

// TestCallersAreToldApart guards against partitions without effect, as it is not known whose
// connection it is.
func TestCallersAreToldApart(t *testing.T) {
	s := newSmallTestbed(t)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if callers := s.workers[0].callers(); len(callers) > 0 {
			if slices.ContainsFunc(callers, func(name string) bool { return name != s.machines[0].name }) {
				t.Errorf("connections of %q", callers)
			}
			return
		}
	}
	t.Error("the machine does not call the worker")
}

// callers returns the callers of the open connections.
func (p *Proxy) callers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for _, name := range p.conns {
		names = append(names, name)
	}
	return names
}
