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

// fast finds a silent link within a fraction of a second.
func fast() core.Limits {
	return core.Limits{HeartbeatInterval: 50 * time.Millisecond, SilenceTimeout: 300 * time.Millisecond}
}

func TestSilentConnectionEndsItsCallsAndIsDialledAgain(t *testing.T) {
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
	hole := linktest.NewBlackhole(t, serve(t, s))
	p := newPool(t, link.PoolOptions{Limits: limits})
	ctx := within(t)
	call := func(sum uint64) error {
		_, err := link.Call[wire.Submit, wire.SubmitReply](ctx, p, hole.Addr, wire.KindSubmit, wire.Submit{Sum: sum})
		return err
	}
	lost := make(chan error, 1)
	go func() { lost <- call(1) }()
	<-started
	hole.DropOpen()
	if err := <-lost; !errors.Is(err, link.ErrOutcomeUnknown) {
		t.Errorf("open call: %v", err)
	}
	select {
	case <-stopped:
	case <-time.After(patience):
		t.Error("the handler of the silent link was not cancelled")
	}
	if err := call(0); err != nil {
		t.Errorf("next call: %v", err)
	}
}

func TestHostThatAcceptsAndSaysNothingIsNotSentToAndComesBack(t *testing.T) {
	s := link.NewServer(link.ServerOptions{})
	link.Handle(s, wire.KindSubmit, echo)
	hole := linktest.NewBlackhole(t, serve(t, s))
	hole.DropNew(true)
	p := newPool(t, link.PoolOptions{DialTimeout: 50 * time.Millisecond})
	ctx := within(t)
	call := func() error {
		_, err := link.Call[wire.Submit, wire.SubmitReply](ctx, p, hole.Addr, wire.KindSubmit, wire.Submit{})
		return err
	}
	for range 3 {
		if err := call(); !errors.Is(err, link.ErrNotExecuted) {
			t.Fatalf("got %v", err)
		}
	}
	hole.DropNew(false)
	for call() != nil {
		if ctx.Err() != nil {
			t.Fatal("the host did not come back")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestUnusedLinkIsClosedAndComesBack(t *testing.T) {
	s := link.NewServer(link.ServerOptions{})
	link.Handle(s, wire.KindSubmit, echo)
	addr := serve(t, s)
	p := newPool(t, link.PoolOptions{Limits: core.Limits{HeartbeatInterval: 20 * time.Millisecond, IdleTimeout: 60 * time.Millisecond}})
	ctx := within(t)
	for range 4 {
		if _, err := link.Call[wire.Submit, wire.SubmitReply](ctx, p, addr, wire.KindSubmit, wire.Submit{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func TestClosedPoolEndsItsCalls(t *testing.T) {
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
