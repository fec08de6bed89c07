package worker_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/standin/worker"
)

func TestRenewReturnsEndingsAfterTheAcknowledged(t *testing.T) {
	r := newFixture(t, worker.Options{})
	for i := range 3 {
		r.must(r.Start(r.ctx, startOf(model.LeaseID(fmt.Sprint("l", i)), worker.Spec{RunMS: int64(1000 * (3 - i))})))
	}
	r.advance(5 * time.Second)
	first := r.renew()
	if len(first.Ended) != 3 || first.Last != 3 || first.Ended[0].Lease != "l2" || first.Ended[2].Lease != "l0" {
		t.Fatalf("got %+v", first)
	}
	rep, err := r.Renew(r.ctx, platform.Renew{Cell: cell, Epoch: epoch, TTL: ttl, Ack: 2})
	r.must(err)
	if len(rep.Ended) != 1 || rep.Ended[0].Lease != "l0" {
		t.Fatalf("after 2: %+v", rep.Ended)
	}
}

func TestListingReportsHistoryCoverage(t *testing.T) {
	r := newFixture(t, worker.Options{HistoryRetention: time.Minute})
	startLong(r)
	r.advance(10 * time.Second)
	listing, err := r.List(r.ctx, model.GroupScope(group))
	r.must(err)
	if len(listing.Ended) != 1 || listing.EndedSince != 10*time.Second || listing.Since != 10*time.Second {
		t.Fatalf("after 10 s: %+v", listing)
	}
	r.advance(2 * time.Minute)
	listing, err = r.List(r.ctx, cellScope)
	r.must(err)
	if len(listing.Ended) != 0 || listing.EndedSince != time.Minute {
		t.Fatalf("after 2 more minutes: %+v", listing)
	}
}

func TestDroppedEndingsReduceHistoryCoverage(t *testing.T) {
	r := newFixture(t, worker.Options{})
	// Each answer is 1 MiB; the history keeps 8 MiB of them.
	const tasks = 20
	for i := range tasks {
		r.must(r.Start(r.ctx, startOf(model.LeaseID(fmt.Sprint(i)), worker.Spec{AnswerBytes: 1 << 20})))
		r.advance(time.Second)
	}
	listing, err := r.List(r.ctx, cellScope)
	r.must(err)
	if len(listing.Ended) != 8 {
		t.Fatalf("%d endings kept", len(listing.Ended))
	}
	if want := 9 * time.Second; listing.EndedSince != want {
		t.Fatalf("coverage is %v, want %v, the time since the end of the last one dropped", listing.EndedSince, want)
	}
}

func TestRestartForgetsEverythingButTheJournal(t *testing.T) {
	r := newFixture(t, worker.Options{})
	startLong(r)
	_, err := r.Fence(r.ctx, platform.Fence{Scope: cellScope, Epoch: epoch + 1})
	r.must(err)
	r.advance(time.Second)
	r.Restart()
	listing, err := r.List(r.ctx, cellScope)
	r.must(err)
	if len(listing.Leases)+len(listing.Ended) != 0 || listing.Since != 0 || listing.EndedSince != 0 {
		t.Fatalf("listing: %+v", listing)
	}
	fenced, err := r.Fence(r.ctx, platform.Fence{Scope: cellScope, Epoch: 1})
	r.must(err)
	if fenced.Previous != 0 || fenced.Incarnation != listing.Incarnation {
		t.Fatalf("fenced: %+v", fenced)
	}
	if _, err := r.Wait(r.ctx, "a"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("wait: %v", err)
	}
	runs := r.Runs()
	if len(runs) != 1 || runs[0].State != worker.EndLost || runs[0].End.Sub(runs[0].Start) != time.Second {
		t.Fatalf("runs: %+v", runs)
	}
}
