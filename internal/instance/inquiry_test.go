package instance

import (
	"fmt"
	"strings"
	"testing"
	"time"
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

// TestStatusDoesNotWaitForASilentOwner guards against calls that each spend their first half second on an
// owner that has just failed to answer.
func TestStatusDoesNotWaitForASilentOwner(t *testing.T) {
	t.Parallel()
	r, owner := witnessedRig(t, 4)
	other := r.nonOwner()
	r.waitFor("a job is accepted", func() bool { return r.submit(other, "j", 1) == nil })
	r.waitFor("complete", r.isComplete(other, "j"))
	began := time.Now()
	owner.gate.stop(func(name string) time.Duration {
		if name != other.inst.Settings.Name {
			return 0
		}
		return 6*time.Second - time.Since(began)
	})
	t.Cleanup(func() { owner.gate.stop(func(string) time.Duration { return 0 }) })
	r.waitFor("the owner is silent", func() bool { return other.inst.ownerSilentFor() > time.Second })
	for range 5 {
		asked := time.Now()
		if !r.isComplete(other, "j")() {
			t.Error("not told the state of the job")
		}
		if took := time.Since(asked); took > askTimeout/2 {
			t.Errorf("told after %v", took)
		}
		asked = time.Now()
		if _, err := other.inst.Pending(t.Context(), "q"); err != nil || time.Since(asked) > askTimeout/2 {
			t.Errorf("pending jobs: error %v after %v", err, time.Since(asked))
		}
	}
	if r.owner() != owner {
		t.Error("the owner lost its term")
	}
}
