package instance

import (
	"fmt"
	"strings"
	"testing"
)

// A status that was not available named neither the owner nor the instances that were asked, so logs
// did not tell whether an owner was silent.
func TestUnavailableStatusNamesTheInstancesThatWereAsked(t *testing.T) {
	r := newRig(t, 3)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	owner, other := r.owner(), r.nonOwner()
	addr := owner.inst.Settings.LinkAddr
	r.waitFor("all know the owner", func() bool {
		for _, n := range r.nodes {
			if n != owner && n.inst.ownerAddr() != addr {
				return false
			}
		}
		return len(other.inst.peers()) == 2
	})
	owner.disconnect()
	var q inquiry
	if rep, err := other.inst.askJob(t.Context(), &q, "j"); err == nil && rep.Known {
		t.Fatal("an owner without links answered")
	}
	got := fmt.Sprint(q.attrs())
	for _, n := range r.nodes {
		if a := n.inst.Settings.LinkAddr; n != other && !strings.Contains(got, a+": ") {
			t.Errorf("no answer of %s in %s", a, got)
		}
	}
	if !strings.Contains(got, "owner="+addr) {
		t.Errorf("no owner %s in %s", addr, got)
	}
}
