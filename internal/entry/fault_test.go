package entry_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/link/linktest"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

func TestRequestIsResentWithItsKeyWhenItsOwnerFails(t *testing.T) {
	first, second := newFakeScheduler(t), newFakeScheduler(t)
	started := make(chan struct{}, 2)
	hold := func(ctx context.Context, _ wire.Submit) (wire.SubmitReply, error) {
		started <- struct{}{}
		<-ctx.Done()
		return wire.SubmitReply{}, ctx.Err()
	}
	first.submit = hold
	s := newSystem(t, nil, document(), first)
	got := make(chan httpReply, 1)
	go func() {
		got <- s.do(t, "POST", "/v1/requests", `{"key":"k","account":"farms","kind":"x","body":7,"timeout":"9s"}`)
	}()
	<-started
	s.hosts.set(first.addr, second.addr)
	first.kill()
	if r := <-got; r.status != http.StatusOK || !strings.Contains(r.body, `"answer":7`) {
		t.Fatalf("got %d %s", r.status, r.body)
	}
	a, b := first.submitted()[0], second.submitted()[0]
	if a.Sum != b.Sum || !a.Work.Submitted.Equal(b.Work.Submitted) || a.Work.Key != b.Work.Key {
		t.Fatalf("submitted %+v and then %+v", a, b)
	}
}

func TestOwnerNamedByASchedulerIsCalledAndRemembered(t *testing.T) {
	other, owner := newFakeScheduler(t), newFakeScheduler(t)
	other.submit = func(context.Context, wire.Submit) (wire.SubmitReply, error) {
		return wire.SubmitReply{Moved: true, Owner: model.Member{Host: "owner", Addr: owner.addr}}, nil
	}
	s := newSystem(t, nil, document(), other) // the owner isn't in the host list yet
	for range 2 {
		if got := s.do(t, "POST", "/v1/requests", `{"key":"k","account":"farms","kind":"x"}`); got.status != http.StatusOK {
			t.Fatalf("got %d %s", got.status, got.body)
		}
	}
	if n, m := len(other.submitted()), len(owner.submitted()); n != 1 || m != 2 {
		t.Fatalf("other called %d times, owner %d", n, m)
	}
}

func TestSubmitCarriesTheGroupsEpoch(t *testing.T) {
	f := newFakeScheduler(t)
	f.submit = func(_ context.Context, q wire.Submit) (wire.SubmitReply, error) {
		if q.Epoch != 17 {
			return wire.SubmitReply{Moved: true, Epoch: 17}, nil
		}
		r := doneReply(nil)
		r.Epoch = 17
		return r, nil
	}
	s := newSystem(t, nil, document(), f)
	for range 2 {
		if got := s.do(t, "POST", "/v1/requests", `{"key":"k","account":"farms","kind":"x"}`); got.status != http.StatusOK {
			t.Fatalf("got %d %s", got.status, got.body)
		}
	}
	var epochs []model.Epoch
	for _, q := range f.submitted() {
		epochs = append(epochs, q.Epoch)
	}
	if !slices.Equal(epochs, []model.Epoch{0, 17, 17}) {
		t.Fatalf("submitted with epochs %v", epochs)
	}
}

func TestAnotherSchedulerIsCalledWhenTheOwnerDrains(t *testing.T) {
	leaving, next := newFakeScheduler(t), newFakeScheduler(t)
	leaving.submit = func(context.Context, wire.Submit) (wire.SubmitReply, error) {
		return wire.SubmitReply{Result: model.Result{Outcome: model.OutcomeNotRun, Reason: model.ReasonDraining}}, nil
	}
	s := newSystem(t, nil, document(), leaving, next)
	if got := s.do(t, "POST", "/v1/requests", `{"key":"k","account":"farms","kind":"x"}`); got.status != http.StatusOK {
		t.Fatalf("got %d %s", got.status, got.body)
	}
}

func TestRequestThatReachesNoSchedulerIsNotRun(t *testing.T) {
	dead := newFakeScheduler(t)
	dead.kill()
	s := newSystem(t, nil, document(), dead)
	got := s.do(t, "POST", "/v1/requests", `{"key":"k","account":"farms","kind":"x","timeout":"100ms"}`)
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, `"outcome":"not_run"`) || got.header.Get("Retry-After") == "" {
		t.Fatalf("got %d %s", got.status, got.body)
	}
}

func TestOutcomeIsUnknownWhenTheOwnerFailsBeforeTheDeadline(t *testing.T) {
	f := newFakeScheduler(t)
	f.submit = func(ctx context.Context, _ wire.Submit) (wire.SubmitReply, error) {
		go f.kill()
		<-ctx.Done()
		return wire.SubmitReply{}, ctx.Err()
	}
	s := newSystem(t, nil, document(), f)
	got := s.do(t, "POST", "/v1/requests", `{"key":"k","account":"farms","kind":"x","timeout":"300ms"}`)
	if got.status != http.StatusGatewayTimeout || !strings.Contains(got.body, `"outcome":"unknown"`) {
		t.Fatalf("got %d %s", got.status, got.body)
	}
}

func TestSchedulersHandlerEndsWhenTheCallerDisconnects(t *testing.T) {
	f := newFakeScheduler(t)
	started, ended := make(chan struct{}), make(chan struct{})
	f.submit = func(ctx context.Context, _ wire.Submit) (wire.SubmitReply, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return wire.SubmitReply{}, ctx.Err()
	}
	s := newSystem(t, nil, document(), f)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", s.url+"/v1/requests", strings.NewReader(`{"key":"k","account":"farms","kind":"x","timeout":"1h"}`))
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		<-started
		cancel()
	}()
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
		t.Fatal("the call was answered")
	}
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the scheduler's handler is still waiting")
	}
}

func TestFullQueueIsReportedAtOnce(t *testing.T) {
	f := newFakeScheduler(t)
	f.submit = func(context.Context, wire.Submit) (wire.SubmitReply, error) {
		return wire.SubmitReply{Result: model.Result{Outcome: model.OutcomeNotRun, Reason: model.ReasonQueueFull, RetryAfter: 2 * time.Second}}, nil
	}
	s := newSystem(t, nil, document(), f)
	got := s.do(t, "POST", "/v1/requests", `{"key":"k","account":"farms","kind":"x","timeout":"1h"}`)
	if got.status != http.StatusTooManyRequests || got.header.Get("Retry-After") != "2" {
		t.Fatalf("got %d %v", got.status, got.header)
	}
}

func TestDrainFinishesOpenRequestsAndRejectsNewOnes(t *testing.T) {
	f := newFakeScheduler(t)
	started, release := make(chan struct{}, 8), make(chan struct{})
	f.submit = func(_ context.Context, q wire.Submit) (wire.SubmitReply, error) {
		started <- struct{}{}
		<-release
		return doneReply(q.Work.Body), nil
	}
	s := newSystem(t, nil, document(), f)
	const open = 8
	got := make(chan httpReply, open)
	for i := range open {
		go func() {
			got <- s.do(t, "POST", "/v1/requests", `{"key":"k`+string(rune('a'+i))+`","account":"farms","kind":"x","body":1,"timeout":"1h"}`)
		}()
	}
	for range open {
		<-started
	}
	drained := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	go func() { drained <- s.Drain(ctx) }()
	for s.Ready() {
		time.Sleep(time.Millisecond)
	}
	if r := s.do(t, "GET", "/readyz", ""); r.status != http.StatusServiceUnavailable {
		t.Errorf("readyz: status %d", r.status)
	}
	r := s.do(t, "POST", "/v1/requests", `{"key":"late","account":"farms","kind":"x"}`)
	if !r.closesConnection {
		t.Error("the connection stays open after a rejection")
	}
	if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" || !strings.Contains(r.body, "draining") {
		t.Errorf("new request: %d %s", r.status, r.body)
	}
	select {
	case err := <-drained:
		t.Fatalf("drained with requests open: %v", err)
	default:
	}
	close(release)
	for range open {
		if r := <-got; r.status != http.StatusOK || !strings.Contains(r.body, `"answer":1`) {
			t.Errorf("open request: %d %s", r.status, r.body)
		} else if !r.closesConnection {
			t.Error("the connection stays open after the last answer")
		}
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if n := len(f.submitted()); n != open {
		t.Errorf("%d requests reached the scheduler, want %d", n, open)
	}
}

func TestDrainReturnsAnErrorWhenItsTimeRunsOut(t *testing.T) {
	f := newFakeScheduler(t)
	started := make(chan struct{})
	f.submit = func(ctx context.Context, _ wire.Submit) (wire.SubmitReply, error) {
		close(started)
		<-ctx.Done()
		return wire.SubmitReply{}, ctx.Err()
	}
	s := newSystem(t, nil, document(), f)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", s.url+"/v1/requests", strings.NewReader(`{"key":"k","account":"farms","kind":"x"}`))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	<-started
	short, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer stop()
	if err := s.Drain(short); err == nil || s.OpenRequests() != 1 {
		t.Errorf("drain returned %v with %d open", err, s.OpenRequests())
	}
	cancel()
	<-ended
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	limits := core.Limits{HeartbeatInterval: 50 * time.Millisecond, SilenceTimeout: 300 * time.Millisecond}
	f := newFakeScheduler(t)
	hole := linktest.NewBlackhole(t, f.addr)
	s := newSystemWithPool(t, document(), link.PoolOptions{Limits: limits}, hole.Addr)
	if got := s.do(t, "POST", "/v1/requests", `{"key":"a","account":"farms","kind":"x"}`); got.status != http.StatusOK {
		t.Fatalf("before: %d %s", got.status, got.body)
	}
	hole.DropOpen()
	if got := s.do(t, "POST", "/v1/requests", `{"key":"b","account":"farms","kind":"x","timeout":"9s"}`); got.status != http.StatusOK {
		t.Fatalf("after the old connection went silent: %d %s", got.status, got.body)
	}
}
