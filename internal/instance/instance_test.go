package instance

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/core/commit"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/store"
)

func TestJobTakenInAnywhereCompletesAndIsKnownEverywhere(t *testing.T) {
	r := newRig(t, 3)
	r.wait("an owner", func() bool { return r.owner() != nil })
	for n, nd := range r.nodes {
		id := fmt.Sprintf("job-%d", n)
		r.wait("accepted", func() bool { return r.submit(nd, id, 3) == nil })
		for _, asked := range r.nodes {
			r.wait("complete", r.complete(asked, id))
		}
	}
	r.checkFleet()
}

func TestAcceptedJobsOutliveTheirOwner(t *testing.T) {
	r := newRig(t, 3)
	r.wait("an owner", func() bool { return r.owner() != nil })
	taker := r.other()
	for n := range 5 {
		r.wait("accepted", func() bool { return r.submit(taker, fmt.Sprintf("job-%d", n), 4) == nil })
	}
	r.owner().kill()
	for n := range 5 {
		r.wait("complete under the next owner", r.complete(taker, fmt.Sprintf("job-%d", n)))
	}
	r.checkFleet()
}

func TestOwnerThatLeavesHandsItsTermOver(t *testing.T) {
	r := newRig(t, 2)
	r.wait("an owner", func() bool { return r.owner() != nil })
	first := r.owner()
	before := first.inst.newestTerm().Term
	first.stop()
	<-first.done
	began := time.Now()
	r.wait("another owner", func() bool { o := r.owner(); return o != nil && o != first && o.inst.newestTerm().Term > before })
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("took %v", took)
	}
}

func TestInstanceThatTheStoreTurnsAwayAcceptsOverAPeer(t *testing.T) {
	r := newRig(t, 3)
	r.wait("an owner", func() bool { return r.owner() != nil })
	cut := r.other()
	r.wait("peers known", func() bool { return len(cut.inst.peers()) > 0 })
	close(cut.way.cut)
	r.wait("the loss noticed", func() bool { return !cut.inst.store.reachable() })
	if err := r.submit(cut, "over", 2); err != nil {
		t.Fatal(err)
	}
	r.wait("complete", r.complete(cut, "over"))
	r.store.Put(testPolicies, "policy", []byte("2"))
	r.wait("the policy over a peer", func() bool { return cut.inst.policyVersion() == 2 })
}

func TestInstanceCutFromTheStoreFindsTheNextOwner(t *testing.T) {
	r := newRig(t, 3)
	r.wait("an owner", func() bool { return r.owner() != nil })
	cut := r.other()
	r.wait("accepted", func() bool { return r.submit(cut, "j", 2) == nil })
	r.wait("peers known", func() bool { return len(cut.inst.peers()) > 1 })
	close(cut.way.cut)
	r.owner().kill()
	r.wait("complete, as told by the instance that was cut off", r.complete(cut, "j"))
}

func TestLostStoreRefusesAtOnceAndNothingRefusedRuns(t *testing.T) {
	r := newRig(t, 2)
	r.wait("an owner", func() bool { return r.owner() != nil })
	r.store.SetFault(store.Fault{Down: true})
	for _, n := range r.nodes {
		r.wait("the loss noticed", func() bool { return !n.inst.store.reachable() })
	}
	began := time.Now()
	if err := r.submit(r.nodes[0], "refused", 1); !errors.Is(err, ErrRefused) {
		t.Fatalf("error %v, want not run", err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("refused after %v", took)
	}
	r.store.SetFault(store.Fault{})
	r.wait("the store again", func() bool { return r.submit(r.nodes[0], "next", 1) == nil })
	r.wait("complete", r.complete(r.nodes[0], "next"))
	if _, err := r.status(r.nodes[0], "refused"); !errors.Is(err, ErrNoJob) {
		t.Errorf("state of the refused job: %v", err)
	}
}

// TestSilentStoreIsFoundAtOnceWhenItIsBack: reads that the store had forgotten
// kept the instance waiting for seconds.
func TestSilentStoreIsFoundAtOnceWhenItIsBack(t *testing.T) {
	r := newRig(t, 1)
	r.nodes[0].way.long.Store(true)
	r.wait("an owner", func() bool { return r.owner() != nil })
	r.store.SetFault(store.Fault{Silent: true})
	i := r.nodes[0].inst
	r.wait("the loss noticed", func() bool { return !i.store.reachable() })
	time.Sleep(300 * time.Millisecond)
	r.store.SetFault(store.Fault{})
	r.store.Put(testPolicies, "policy", []byte("5"))
	began := time.Now()
	r.wait("the policy", func() bool { return i.policyVersion() == 5 })
	if took := time.Since(began); took > 1200*time.Millisecond {
		t.Errorf("took %v", took)
	}
}

// TestLostAnswersLeaveOneAcceptedJob: the caller was told of a doubt although the
// owner had read the job.
func TestLostAnswersLeaveOneAcceptedJob(t *testing.T) {
	r := newRig(t, 2)
	r.wait("an owner", func() bool { return r.owner() != nil })
	r.wait("a job accepted", func() bool { return r.submit(r.other(), "first", 1) == nil })
	r.wait("complete", r.complete(r.other(), "first"))
	for n, from := range []*node{r.owner(), r.other()} {
		id := fmt.Sprintf("j%d", n)
		r.store.SetFault(store.Fault{LoseAnswers: true, Topics: topicsJobs})
		began := time.Now()
		if err := r.submit(from, id, 2); err != nil {
			t.Fatalf("error %v, want none", err)
		}
		if took := time.Since(began); took > commit.MinHedge {
			t.Errorf("accepted after %v", took)
		}
		r.store.SetFault(store.Fault{})
		r.wait("complete", r.complete(r.other(), id))
	}
	r.checkFleet()
}

func TestLateAppendsLeaveADoubtAndOneJob(t *testing.T) {
	r := newRig(t, 1)
	r.wait("an owner", func() bool { return r.owner() != nil })
	r.store.SetFault(store.Fault{AppendDelay: 4 * time.Second, Topics: topicsJobs})
	if err := r.submit(r.nodes[0], "j", 2); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("error %v, want unclear", err)
	}
	r.store.SetFault(store.Fault{})
	r.wait("complete", r.complete(r.nodes[0], "j"))
	r.checkFleet()
}

// TestRepeatOfAnAcceptedJobIsAcceptedWhileTheStoreIsDown: it was refused, and the
// caller took the job for lost that then ran.
func TestRepeatOfAnAcceptedJobIsAcceptedWhileTheStoreIsDown(t *testing.T) {
	r := newRig(t, 2)
	r.wait("an owner", func() bool { return r.owner() != nil })
	r.wait("accepted", func() bool { return r.submit(r.other(), "j", 200) == nil })
	r.wait("read", func() bool { _, err := r.status(r.other(), "j"); return err == nil })
	r.store.SetFault(store.Fault{Down: true})
	r.wait("the loss noticed", func() bool { return !r.other().inst.store.reachable() })
	if err := r.submit(r.other(), "j", 200); err != nil {
		t.Errorf("the repeat: %v", err)
	}
	if err := r.submit(r.other(), "k", 2); !errors.Is(err, ErrRefused) {
		t.Errorf("another job: %v, want not run", err)
	}
}

func TestCancelledJobIsShownAsSuch(t *testing.T) {
	r := newRig(t, 2)
	r.wait("an owner", func() bool { return r.owner() != nil })
	r.wait("accepted", func() bool { return r.submit(r.other(), "j", 200) == nil })
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if err := r.other().inst.Cancel(ctx, "j"); err != nil {
		t.Fatal(err)
	}
	r.wait("cancelled", func() bool { s, err := r.status(r.other(), "j"); return err == nil && s == job.StatusCancelled })
}

// TestForgottenJobsLeaveNoSubmissionWithoutProgress: the next owner would run
// such a job again.
func TestForgottenJobsLeaveNoSubmissionWithoutProgress(t *testing.T) {
	r := newRig(t, 0)
	r.retention = 300 * time.Millisecond
	r.add(0)
	r.wait("an owner", func() bool { return r.owner() != nil })
	r.wait("accepted", func() bool { return r.submit(r.nodes[0], "j", 1) == nil })
	r.wait("complete", r.complete(r.nodes[0], "j"))
	keys := func(topic external.Topic, key string) bool {
		p, err := r.store.Newest(t.Context(), topic)
		if err != nil {
			t.Fatal(err)
		}
		for _, rec := range p.Records {
			if rec.Key == key {
				return true
			}
		}
		return false
	}
	r.wait("forgotten", func() bool {
		progress := keys(topicsProgress[0], "j") // read first: it must go last
		submission := keys(topicsJobs[topicOrder("j")[0]], keySubmission+"j")
		if submission && !progress {
			t.Fatal("a submission without progress")
		}
		return !submission && !progress
	})
}

func TestJunkEntryNamesNoWorkerAndTheOthersHold(t *testing.T) {
	r := newRig(t, 1)
	r.store.Put(testWorkers, "junk", []byte{0xff, 0x00})
	r.wait("an owner", func() bool { return r.owner() != nil })
	r.wait("accepted", func() bool { return r.submit(r.nodes[0], "j", 3) == nil })
	r.wait("complete", r.complete(r.nodes[0], "j"))
}

func TestPolicyFollowsOverExpiredRecords(t *testing.T) {
	r := newRig(t, 1)
	r.wait("a policy", func() bool { return r.nodes[0].inst.policyVersion() == 1 })
	r.store.SetFault(store.Fault{Down: true})
	r.store.Put(testPolicies, "policy", []byte("2"))
	r.store.Expire(testPolicies)
	r.store.SetFault(store.Fault{})
	r.wait("the newest policy", func() bool { return r.nodes[0].inst.policyVersion() == 2 })
}

func TestOlderPolicyNeverComesBack(t *testing.T) {
	r := newRig(t, 1)
	r.store.Put(testPolicies, "policy", []byte("7"))
	i := r.nodes[0].inst
	r.wait("version 7", func() bool { return i.policyVersion() == 7 })
	i.applyPolicy([]byte("6"), "a peer")
	i.applyPolicy([]byte("junk"), "a peer")
	if v := i.policyVersion(); v != 7 {
		t.Errorf("version %v", v)
	}
}

func TestCallsAreCheckedAgainstThePolicy(t *testing.T) {
	r := newRig(t, 1)
	i := r.nodes[0].inst
	r.wait("a policy", i.Ready)
	for name, c := range map[string]struct {
		call Request
		want error
	}{
		"a known key":            {Request{Host: "h", Path: "/q/x", Key: "key-a"}, nil},
		"an unknown key":         {Request{Host: "h", Path: "/q/x", Key: "other"}, ErrUnknownKey},
		"no key":                 {Request{Host: "h", Path: "/q/x"}, ErrUnknownKey},
		"another host":           {Request{Host: "g", Path: "/q/x", Key: "key-a"}, ErrNoRoute},
		"a path without a queue": {Request{Host: "h", Path: "/z/x", Key: "key-a"}, ErrNoRoute},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := i.Authorize(c.call); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

func TestRecordsOfOthersThatCannotBeReadAreLeftOut(t *testing.T) {
	if _, err := readJobRecord(external.Record{Key: "j/x", Value: []byte{0xff}}); !errors.Is(err, errRecord) {
		t.Errorf("error %v", err)
	}
	rec, err := readJobRecord(external.Record{Key: "j/x"})
	if err != nil || rec.submitted != nil || rec.cancelled != "" {
		t.Errorf("%+v, %v for a dropped key", rec, err)
	}
}
