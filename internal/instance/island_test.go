package instance

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestPartitionedOwnerDoesNotRunTasksTwice guards against an owner that keeps its term on the
// word of a peer behind the same partition, while the other side, which reaches the store,
// claims the next one: both started the tasks of the workers that they did not reach.
func TestPartitionedOwnerDoesNotRunTasksTwice(t *testing.T) {
	for _, instances := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			t.Parallel()
			r := newRig(t, instances)
			r.work = 8 * time.Second
			r.waitFor("an owner", func() bool { return r.owner() != nil })
			time.Sleep(2 * time.Second) // the instances learn of each other
			owner := r.owner()
			r.waitFor("the job is accepted", func() bool { return r.submit(owner, "j", 12) == nil })
			time.Sleep(500 * time.Millisecond)
			r.isolate(owner)
			for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				if owners := r.owners(); len(owners) > 1 {
					t.Logf("%v own the cell", owners)
				}
			}
			r.checkFleet()
		})
	}
}

// isolate cuts the network between the owner, one peer and two workers on one side, and all
// else, the store included, on the other.
func (r *rig) isolate(owner *node) {
	at := slices.Index(r.nodes, owner)
	peer := r.nodes[(at+1)%len(r.nodes)]
	for _, n := range r.nodes {
		if n == owner || n == peer {
			n.workers.cutOff("w1", "w3")
			close(n.conn.refused)
			continue
		}
		n.workers.cutOff("w0", "w2")
		n.disconnect()
	}
}

// owners returns the names of the instances that own the cell.
func (r *rig) owners() []string {
	var out []string
	for _, n := range r.nodes {
		if n.inst.owner.Load() != nil {
			out = append(out, n.inst.Settings.Name)
		}
	}
	return out
}
