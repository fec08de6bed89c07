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

func TestJobAcceptedByAnyInstanceCompletesAndIsKnownToAll(t *testing.T) {
	r := newRig(t, 3)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	for n, nd := range r.nodes {
		id := fmt.Sprintf("job-%d", n)
		r.waitFor("accepted", func() bool { return r.submit(nd, id, 3) == nil })
		for _, asked := range r.nodes {
			r.waitFor("complete", r.isComplete(asked, id))
		}
	}
	r.checkFleet()
}

func TestAcceptedJobsSurviveTheirOwner(t *testing.T) {
	r := newRig(t, 3)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	acceptor := r.nonOwner()
	for n := range 5 {
		r.waitFor("accepted", func() bool { return r.submit(acceptor, fmt.Sprintf("job-%d", n), 4) == nil })
	}
	r.owner().kill()
	for n := range 5 {
		r.waitFor("complete under the next owner", r.isComplete(acceptor, fmt.Sprintf("job-%d", n)))
	}
	r.checkFleet()
}

func TestStoppingOwnerHandsItsTermOver(t *testing.T) {
	r := newRig(t, 2)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	first := r.owner()
	before := first.inst.latestTermRecord().Term
	first.stop()
	<-first.done
	began := time.Now()
	r.waitFor("another owner", func() bool { o := r.owner(); return o != nil && o != first && o.inst.latestTermRecord().Term > before })
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("took %v", took)
	}
}

func TestInstanceRefusedByTheStoreAcceptsThroughAPeer(t *testing.T) {
	r := newRig(t, 3)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	refused := r.nonOwner()
	r.waitFor("peers known", func() bool { return len(refused.inst.peers()) > 0 })
	close(refused.conn.refused)
	r.waitFor("the outage noticed", func() bool { return !refused.inst.storeMonitor.reachable() })
	if err := r.submit(refused, "over", 2); err != nil {
		t.Fatal(err)
	}
	r.waitFor("complete", r.isComplete(refused, "over"))
	r.store.Put(testPolicies, "policy", []byte("2"))
	r.waitFor("the policy through a peer", func() bool { return refused.inst.policyInForce() == 2 })
}

func TestInstanceRefusedByTheStoreFindsTheNextOwner(t *testing.T) {
	r := newRig(t, 3)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	refused := r.nonOwner()
	r.waitFor("accepted", func() bool { return r.submit(refused, "j", 2) == nil })
	r.waitFor("peers known", func() bool { return len(refused.inst.peers()) > 1 })
	close(refused.conn.refused)
	r.owner().kill()
	r.waitFor("complete, as reported by the refused instance", r.isComplete(refused, "j"))
}

func TestStoreOutageRefusesJobsAtOnceAndNoneOfThemRuns(t *testing.T) {
	r := newRig(t, 2)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	r.store.SetFault(store.Fault{Down: true})
	for _, n := range r.nodes {
		r.waitFor("the outage noticed", func() bool { return !n.inst.storeMonitor.reachable() })
	}
	began := time.Now()
	if err := r.submit(r.nodes[0], "refused", 1); !errors.Is(err, ErrRefused) {
		t.Fatalf("error %v, want refused", err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("refused after %v", took)
	}
	r.store.SetFault(store.Fault{})
	r.waitFor("the store again", func() bool { return r.submit(r.nodes[0], "next", 1) == nil })
	r.waitFor("complete", r.isComplete(r.nodes[0], "next"))
	if _, err := r.status(r.nodes[0], "refused"); !errors.Is(err, ErrNoJob) {
		t.Errorf("status of the refused job: %v", err)
	}
}

// Reads that the store had forgotten kept the instance waiting for seconds after the store
// was back.
func TestReturnOfASilentStoreIsNoticedAtOnce(t *testing.T) {
	r := newRig(t, 1)
	r.nodes[0].conn.longReads.Store(true)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	r.store.SetFault(store.Fault{Silent: true})
	i := r.nodes[0].inst
	r.waitFor("the outage noticed", func() bool { return !i.storeMonitor.reachable() })
	time.Sleep(300 * time.Millisecond)
	r.store.SetFault(store.Fault{})
	r.store.Put(testPolicies, "policy", []byte("5"))
	began := time.Now()
	r.waitFor("the policy", func() bool { return i.policyInForce() == 5 })
	if took := time.Since(began); took > 1200*time.Millisecond {
		t.Errorf("took %v", took)
	}
}

// The caller must not be told that the outcome is unknown if the owner has read the job.
func TestJobIsAcceptedOnceWhenAnswersAreLost(t *testing.T) {
	r := newRig(t, 2)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	r.waitFor("a job accepted", func() bool { return r.submit(r.nonOwner(), "first", 1) == nil })
	r.waitFor("complete", r.isComplete(r.nonOwner(), "first"))
	for n, from := range []*node{r.owner(), r.nonOwner()} {
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
		r.waitFor("complete", r.isComplete(r.nonOwner(), id))
	}
	r.checkFleet()
}

func TestLateAppendHasUnknownOutcomeAndOneJob(t *testing.T) {
	r := newRig(t, 1)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	r.store.SetFault(store.Fault{AppendDelay: 4 * time.Second, Topics: topicsJobs})
	if err := r.submit(r.nodes[0], "j", 2); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("error %v, want outcome unknown", err)
	}
	r.store.SetFault(store.Fault{})
	r.waitFor("complete", r.isComplete(r.nodes[0], "j"))
	r.checkFleet()
}

// If the retry were refused, the caller would take a job for lost that then runs.
func TestRetryOfAnAcceptedJobIsAcceptedWhileTheStoreIsDown(t *testing.T) {
	r := newRig(t, 2)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	r.waitFor("accepted", func() bool { return r.submit(r.nonOwner(), "j", 200) == nil })
	r.waitFor("read", func() bool { _, err := r.status(r.nonOwner(), "j"); return err == nil })
	r.store.SetFault(store.Fault{Down: true})
	r.waitFor("the outage noticed", func() bool { return !r.nonOwner().inst.storeMonitor.reachable() })
	if err := r.submit(r.nonOwner(), "j", 200); err != nil {
		t.Errorf("the retry: %v", err)
	}
	if err := r.submit(r.nonOwner(), "k", 2); !errors.Is(err, ErrRefused) {
		t.Errorf("another job: %v, want refused", err)
	}
}

func TestCancelledJobHasStatusCancelled(t *testing.T) {
	r := newRig(t, 2)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	r.waitFor("accepted", func() bool { return r.submit(r.nonOwner(), "j", 200) == nil })
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if err := r.nonOwner().inst.Cancel(ctx, "j"); err != nil {
		t.Fatal(err)
	}
	r.waitFor("cancelled", func() bool { s, err := r.status(r.nonOwner(), "j"); return err == nil && s == job.StatusCancelled })
}

// The next owner would run again a job that has a submission and no progress.
func TestDeletedJobsLeaveNoSubmissionWithoutProgress(t *testing.T) {
	r := newRig(t, 0)
	r.retention = 300 * time.Millisecond
	r.addInstance(0)
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	r.waitFor("accepted", func() bool { return r.submit(r.nodes[0], "j", 1) == nil })
	r.waitFor("complete", r.isComplete(r.nodes[0], "j"))
	hasKey := func(topic external.Topic, key string) bool {
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
	r.waitFor("deleted", func() bool {
		progress := hasKey(topicsProgress[0], "j") // read first, as it must be deleted last
		submission := hasKey(topicsJobs[topicOrder("j")[0]], keySubmission+"j")
		if submission && !progress {
			t.Fatal("a submission without progress")
		}
		return !submission && !progress
	})
}

func TestInvalidWorkerEntryIsIgnored(t *testing.T) {
	r := newRig(t, 1)
	r.store.Put(testWorkers, "junk", []byte{0xff, 0x00})
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	r.waitFor("accepted", func() bool { return r.submit(r.nodes[0], "j", 3) == nil })
	r.waitFor("complete", r.isComplete(r.nodes[0], "j"))
}

func TestPolicyIsReadPastExpiredRecords(t *testing.T) {
	r := newRig(t, 1)
	r.waitFor("a policy", func() bool { return r.nodes[0].inst.policyInForce() == 1 })
	r.store.SetFault(store.Fault{Down: true})
	r.store.Put(testPolicies, "policy", []byte("2"))
	r.store.Expire(testPolicies)
	r.store.SetFault(store.Fault{})
	r.waitFor("the newest policy", func() bool { return r.nodes[0].inst.policyInForce() == 2 })
}

func TestOlderPolicyIsNeverApplied(t *testing.T) {
	r := newRig(t, 1)
	r.store.Put(testPolicies, "policy", []byte("7"))
	i := r.nodes[0].inst
	r.waitFor("version 7", func() bool { return i.policyInForce() == 7 })
	i.applyPolicy([]byte("6"), policySource{from: "a peer"})
	i.applyPolicy([]byte("junk"), policySource{from: "a peer"})
	if v := i.policyInForce(); v != 7 {
		t.Errorf("version %v", v)
	}
}

func TestAuthorize(t *testing.T) {
	r := newRig(t, 1)
	i := r.nodes[0].inst
	r.waitFor("a policy", i.Ready)
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

func TestDecodeJobRecord(t *testing.T) {
	if _, err := decodeJobRecord(external.Record{Key: "j/x", Value: []byte{0xff}}); !errors.Is(err, errInvalidRecord) {
		t.Errorf("error %v", err)
	}
	rec, err := decodeJobRecord(external.Record{Key: "j/x"})
	if err != nil || rec.submitted != nil || rec.cancelled != "" {
		t.Errorf("%+v, %v for a deleted key", rec, err)
	}
}
