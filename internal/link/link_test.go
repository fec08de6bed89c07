package link_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// testTimeout bounds the time that tests wait for real sockets.
const testTimeout = 10 * time.Second

// serve runs a server on a loopback port and returns its address.
func serve(t *testing.T, s *link.Server) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(link.Path, s)
	hs := httptest.NewServer(mux)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_ = s.Shutdown(ctx)
		hs.Close()
	})
	return hs.Listener.Addr().String()
}

func newPool(t *testing.T, o link.PoolOptions) *link.Pool {
	t.Helper()
	p := link.NewPool(o)
	t.Cleanup(func() { _ = p.Close() })
	return p
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func echo(_ context.Context, _ link.Peer, q wire.Submit) (wire.SubmitReply, error) {
	return wire.SubmitReply{Result: model.Result{Key: q.Work.Key, Answer: q.Work.Body}}, nil
}

func TestConcurrentCallsGetTheirOwnAnswers(t *testing.T) {
	s := link.NewServer(link.ServerOptions{})
	link.Handle(s, wire.KindSubmit, echo)
	addr := serve(t, s)
	p := newPool(t, link.PoolOptions{})
	ctx := testContext(t)
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			body := bytes.Repeat([]byte{byte(i)}, i*i*30)
			key := model.Key(strings.Repeat("k", i+1))
			rep, err := link.Call[wire.Submit, wire.SubmitReply](ctx, p, addr, wire.KindSubmit,
				wire.Submit{Work: model.Work{Key: key, Body: body, Deadline: time.Now()}})
			if err != nil {
				t.Errorf("call %d: %v", i, err)
				return
			}
			if rep.Result.Key != key || !bytes.Equal(rep.Result.Answer, body) {
				t.Errorf("call %d got the answer of another call", i)
			}
		})
	}
	wg.Wait()
}

func TestHandlerErrorIsARemoteError(t *testing.T) {
	s := link.NewServer(link.ServerOptions{})
	link.Handle(s, wire.KindSubmit, func(context.Context, link.Peer, wire.Submit) (wire.SubmitReply, error) {
		return wire.SubmitReply{}, eris.New("no room")
	})
	addr := serve(t, s)
	p := newPool(t, link.PoolOptions{})
	_, err := link.Call[wire.Submit, wire.SubmitReply](testContext(t), p, addr, wire.KindSubmit, wire.Submit{})
	var remote *link.RemoteError
	if !errors.Is(err, link.ErrRemote) || !errors.As(err, &remote) || !strings.Contains(remote.Text, "no room") {
		t.Fatalf("got %v", err)
	}
}

func TestCallToClosedPortIsNotExecuted(t *testing.T) {
	p := newPool(t, link.PoolOptions{})
	_, err := link.Call[wire.Submit, wire.SubmitReply](testContext(t), p, "127.0.0.1:1", wire.KindSubmit, wire.Submit{})
	if !errors.Is(err, link.ErrNotExecuted) {
		t.Fatalf("got %v", err)
	}
}

func TestCancelledCallCancelsTheHandler(t *testing.T) {
	s := link.NewServer(link.ServerOptions{})
	started, stopped := make(chan struct{}), make(chan struct{})
	link.Handle(s, wire.KindSubmit, func(ctx context.Context, _ link.Peer, _ wire.Submit) (wire.SubmitReply, error) {
		close(started)
		<-ctx.Done()
		close(stopped)
		return wire.SubmitReply{}, ctx.Err()
	})
	addr := serve(t, s)
	p := newPool(t, link.PoolOptions{})
	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		<-started
		cancel()
	}()
	_, err := link.Call[wire.Submit, wire.SubmitReply](ctx, p, addr, wire.KindSubmit, wire.Submit{})
	if !errors.Is(err, link.ErrOutcomeUnknown) {
		t.Fatalf("got %v", err)
	}
	select {
	case <-stopped:
	case <-time.After(testTimeout):
		t.Fatal("the handler was not cancelled")
	}
}

func TestShutdownCompletesOpenCallsAndRefusesNewOnes(t *testing.T) {
	s := link.NewServer(link.ServerOptions{})
	started, release := make(chan struct{}), make(chan struct{})
	var first atomic.Bool
	first.Store(true)
	link.Handle(s, wire.KindSubmit, func(_ context.Context, _ link.Peer, q wire.Submit) (wire.SubmitReply, error) {
		if first.CompareAndSwap(true, false) {
			close(started)
			<-release
		}
		return wire.SubmitReply{Result: model.Result{Answer: q.Work.Body}}, nil
	})
	addr := serve(t, s)
	p := newPool(t, link.PoolOptions{})
	ctx := testContext(t)
	body := bytes.Repeat([]byte("x"), 1<<20)
	got := make(chan error, 1)
	go func() {
		rep, err := link.Call[wire.Submit, wire.SubmitReply](ctx, p, addr, wire.KindSubmit, wire.Submit{Work: model.Work{Body: body}})
		if err == nil && !bytes.Equal(rep.Result.Answer, body) {
			err = eris.New("answer altered")
		}
		got <- err
	}()
	<-started
	down := make(chan error, 1)
	go func() { down <- s.Shutdown(ctx) }()
	for {
		_, err := link.Call[wire.Submit, wire.SubmitReply](ctx, newPool(t, link.PoolOptions{}), addr, wire.KindSubmit, wire.Submit{})
		if errors.Is(err, link.ErrNotExecuted) {
			break
		}
	}
	close(release)
	if err := <-got; err != nil {
		t.Errorf("open call: %v", err)
	}
	if err := <-down; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

func TestCallOverMaxOpenCallsIsNotExecuted(t *testing.T) {
	s := link.NewServer(link.ServerOptions{Limits: core.Limits{MaxOpenCalls: 1}})
	started, release := make(chan struct{}), make(chan struct{})
	link.Handle(s, wire.KindSubmit, func(context.Context, link.Peer, wire.Submit) (wire.SubmitReply, error) {
		close(started) // panics if the handler is started again
		<-release
		return wire.SubmitReply{}, nil
	})
	addr := serve(t, s)
	p := newPool(t, link.PoolOptions{})
	ctx := testContext(t)
	got := make(chan error, 1)
	go func() {
		_, err := link.Call[wire.Submit, wire.SubmitReply](ctx, p, addr, wire.KindSubmit, wire.Submit{})
		got <- err
	}()
	<-started
	_, err := link.Call[wire.Submit, wire.SubmitReply](ctx, p, addr, wire.KindSubmit, wire.Submit{})
	if !errors.Is(err, link.ErrOverloaded) {
		t.Errorf("second call: %v", err)
	}
	close(release)
	if err := <-got; err != nil {
		t.Errorf("first call: %v", err)
	}
}
