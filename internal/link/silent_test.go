package link_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/link/linktest"
	"coltsfootmux/internal/wire"
)

// fastLimits are limits with which a silent link is detected within half a second and dialled again soon.
func fastLimits() core.Limits {
	return core.Limits{HeartbeatInterval: 50 * time.Millisecond, SilenceTimeout: 300 * time.Millisecond, MaxRedialWait: 50 * time.Millisecond}
}

func TestSilentConnectionFailsItsCallsAndIsDialledAgain(t *testing.T) {
	limits := core.Limits{HeartbeatInterval: 100 * time.Millisecond, SilenceTimeout: time.Second}
	s := link.NewServer(link.ServerOptions{Limits: limits})
	started, stopped := make(chan struct{}, 1), make(chan struct{}, 1)
	link.Handle(s, wire.KindSubmit, func(ctx context.Context, _ link.Peer, q wire.Submit) (wire.SubmitReply, error) {
		if q.Sum == 0 {
			return wire.SubmitReply{}, nil
		}
		started <- struct{}{}
		<-ctx.Done()
		stopped <- struct{}{}
		return wire.SubmitReply{}, ctx.Err()
	})
	blackhole := linktest.NewBlackhole(t, serve(t, s))
	p := newPool(t, link.PoolOptions{Limits: limits})
	ctx := testContext(t)
	call := func(sum uint64) error {
		_, err := link.Call[wire.Submit, wire.SubmitReply](ctx, p, blackhole.Addr, wire.KindSubmit, wire.Submit{Sum: sum})
		return err
	}
	lost := make(chan error, 1)
	go func() { lost <- call(1) }()
	<-started
	blackhole.DropOpen()
	if err := <-lost; !errors.Is(err, link.ErrOutcomeUnknown) {
		t.Errorf("open call: %v", err)
	}
	select {
	case <-stopped:
	case <-time.After(testTimeout):
		t.Error("the handler of the silent link was not cancelled")
	}
	if err := call(0); err != nil {
		t.Errorf("next call: %v", err)
	}
}

func TestUnresponsiveHostFailsCallsUntilItRecovers(t *testing.T) {
	s := link.NewServer(link.ServerOptions{})
	link.Handle(s, wire.KindSubmit, echo)
	blackhole := linktest.NewBlackhole(t, serve(t, s))
	blackhole.DropNew(true)
	p := newPool(t, link.PoolOptions{DialTimeout: 50 * time.Millisecond})
	ctx := testContext(t)
	call := func() error {
		_, err := link.Call[wire.Submit, wire.SubmitReply](ctx, p, blackhole.Addr, wire.KindSubmit, wire.Submit{})
		return err
	}
	for range 3 {
		if err := call(); !errors.Is(err, link.ErrNotExecuted) {
			t.Fatalf("got %v", err)
		}
	}
	blackhole.DropNew(false)
	for call() != nil {
		if ctx.Err() != nil {
			t.Fatal("the host was not dialled again")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestIdleLinkIsClosedAndDialledAgain(t *testing.T) {
	s := link.NewServer(link.ServerOptions{})
	link.Handle(s, wire.KindSubmit, echo)
	addr := serve(t, s)
	p := newPool(t, link.PoolOptions{Limits: core.Limits{HeartbeatInterval: 20 * time.Millisecond, IdleTimeout: 60 * time.Millisecond}})
	ctx := testContext(t)
	for range 4 {
		if _, err := link.Call[wire.Submit, wire.SubmitReply](ctx, p, addr, wire.KindSubmit, wire.Submit{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func TestClosedPoolFailsItsCalls(t *testing.T) {
	s := link.NewServer(link.ServerOptions{})
	started := make(chan struct{})
	link.Handle(s, wire.KindSubmit, func(ctx context.Context, _ link.Peer, _ wire.Submit) (wire.SubmitReply, error) {
		close(started)
		<-ctx.Done()
		return wire.SubmitReply{}, ctx.Err()
	})
	addr := serve(t, s)
	p := link.NewPool(link.PoolOptions{})
	got := make(chan error, 1)
	go func() {
		_, err := link.Call[wire.Submit, wire.SubmitReply](context.Background(), p, addr, wire.KindSubmit, wire.Submit{})
		got <- err
	}()
	<-started
	if err := p.Close(); err != nil {
		t.Error(err)
	}
	if err := <-got; !errors.Is(err, link.ErrOutcomeUnknown) {
		t.Errorf("open call: %v", err)
	}
	_, err := link.Call[wire.Submit, wire.SubmitReply](context.Background(), p, addr, wire.KindSubmit, wire.Submit{})
	if !errors.Is(err, link.ErrNotExecuted) {
		t.Errorf("call after Close: %v", err)
	}
}
