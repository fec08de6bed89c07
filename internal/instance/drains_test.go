package instance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/standin/fleet"
	"coltsfootmux/internal/standin/store"
)

var storeDown, storeServes = store.Fault{Down: true}, store.Fault{}

// drain asks for the drain of a data centre, as operators do.
func (r *rig) drain(dataCentre string) {
	r.store.Put(testPolicies, testDrainPrefix+dataCentre, []byte("{}"))
}

func (r *rig) takeBack(dataCentre string) { r.store.Put(testPolicies, testDrainPrefix+dataCentre, nil) }

// knowsDrained returns a check that an instance takes just these data centres for drained.
func (n *node) knowsDrained(want ...string) func() bool {
	return func() bool { return slices.Equal(n.inst.drainedDataCentres(), want) }
}

// checkStaysEmpty submits jobs and fails the test if any of them runs in a data centre.
func (r *rig) checkStaysEmpty(acceptor *node, dataCentre, prefix string) {
	r.t.Helper()
	r.fleet.With(func(f *fleet.Fleet) { f.Drain(dataCentre, 0) })
	for n := range 6 {
		id := fmt.Sprintf("%s-%d", prefix, n)
		r.waitFor("accepted", func() bool { return r.submit(acceptor, id, 3) == nil })
	}
	for n := range 6 {
		r.waitFor("complete", r.isComplete(acceptor, fmt.Sprintf("%s-%d", prefix, n)))
	}
	r.checkFleet()
}

func TestDrainReachesTheOwner(t *testing.T) {
	for name, c := range map[string]struct {
		// change ends with d0 drained; owner is the owner before it.
		change func(r *rig, owner *node)
		want   []string
	}{
		"from the store": {func(r *rig, _ *node) { r.drain("d0") }, []string{"d0"}},
		"taken back and set again": {func(r *rig, _ *node) {
			r.drain("d0")
			r.drain("d1")
			r.takeBack("d0")
			r.takeBack("d1")
			r.drain("d0")
		}, []string{"d0"}},
		"after its record expired": {func(r *rig, _ *node) {
			r.drain("d0")
			r.store.Expire(testPolicies)
		}, []string{"d0"}},
		"to a new owner": {func(r *rig, owner *node) {
			r.drain("d0")
			owner.kill()
		}, []string{"d0"}},
		"from peers, as the store refuses the owner": {func(r *rig, owner *node) {
			r.waitFor("peers known", func() bool { return len(owner.inst.peers()) > 1 })
			close(owner.conn.refused)
			r.drain("d0")
		}, []string{"d0"}},
		"in a store that was away": {func(r *rig, _ *node) {
			r.store.SetFault(storeDown)
			r.drain("d0")
			time.Sleep(300 * time.Millisecond)
			r.store.SetFault(storeServes)
		}, []string{"d0"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 3)
			r.waitFor("an owner", func() bool { return r.owner() != nil })
			c.change(r, r.owner())
			for _, n := range r.nodes {
				if n.inst.ctx.Err() == nil {
					r.waitFor("known", n.knowsDrained(c.want...))
				}
			}
			r.waitFor("an owner", func() bool { return r.owner() != nil })
			r.checkStaysEmpty(r.nodes[2], "d0", "j")
		})
	}
}

// A data centre that was taken back while an instance could not read the history is used
// again: the snapshot has no record of it any more.
func TestDrainEndsAfterHistoryIsLost(t *testing.T) {
	r := newRig(t, 2)
	r.drain("d0")
	n := r.nodes[0]
	r.waitFor("drained", n.knowsDrained("d0"))
	r.store.SetFault(storeDown)
	r.takeBack("d0")
	r.store.Expire(testPolicies)
	r.store.SetFault(storeServes)
	r.waitFor("taken back", n.knowsDrained())
}

func TestOverviewShowsDrains(t *testing.T) {
	r := newRig(t, 1)
	r.drain("d1")
	n := r.nodes[0]
	r.waitFor("drained", n.knowsDrained("d1"))
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	r.waitFor("shown", func() bool {
		o := n.inst.Overview()
		if o.Cell == nil || !slices.Equal(o.DrainedDataCentres, []string{"d1"}) {
			return false
		}
		states := make(map[external.WorkerID]string)
		for _, w := range o.Cell.Workers {
			states[external.WorkerID(w.ID)] = w.State
		}
		return states["w0"] == "usable" && states["w1"] == "data centre drained"
	})
}
