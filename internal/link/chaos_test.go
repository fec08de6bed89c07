package link_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/link/linktest"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// ran notes which calls' handlers were started.
type ran struct {
	mu    sync.Mutex
	calls map[uint64]int
}

func (r *ran) note(sum uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[sum]++
}

func (r *ran) count(sum uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls[sum]
}

// TestAnswersStayTrueWhileConnectionsGoSilent makes calls over a network that
// loses track of its connections again and again.
func TestAnswersStayTrueWhileConnectionsGoSilent(t *testing.T) {
	seen := &ran{calls: make(map[uint64]int)}
	s := link.NewServer(link.ServerOptions{Limits: fast()})
	link.Handle(s, wire.KindSubmit, func(ctx context.Context, _ link.Peer, q wire.Submit) (wire.SubmitReply, error) {
		seen.note(q.Sum)
		select {
		case <-time.After(time.Duration(q.Sum%20) * time.Millisecond):
		case <-ctx.Done():
		}
		return wire.SubmitReply{Result: model.Result{Key: q.Work.Key, Answer: q.Work.Body}}, nil
	})
	hole := linktest.NewBlackhole(t, serve(t, s))
	p := newPool(t, link.PoolOptions{Limits: fast(), Seed: 3})
	ctx := within(t)
	var answered, lost atomic.Int64
	var wg sync.WaitGroup
	for caller := range uint64(20) {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(caller, 0))
			for n := range uint64(15) {
				sum := caller*1000 + n
				body := fmt.Appendf(nil, "%0*d", 1+rnd.IntN(100_000), sum)
				key := model.Key(fmt.Sprint("k", sum))
				rep, err := link.Call[wire.Submit, wire.SubmitReply](ctx, p, hole.Addr, wire.KindSubmit,
					wire.Submit{Sum: sum, Work: model.Work{Key: key, Body: body}})
				switch {
				case err == nil:
					answered.Add(1)
					if rep.Result.Key != key || string(rep.Result.Answer) != string(body) || seen.count(sum) != 1 {
						t.Errorf("call %d: answer of %q, handler ran %d times", sum, rep.Result.Key, seen.count(sum))
					}
				case errors.Is(err, link.ErrNotSent), errors.Is(err, link.ErrOverloaded):
					if seen.count(sum) != 0 {
						t.Errorf("call %d: %v, and its handler ran", sum, err)
					}
				case errors.Is(err, link.ErrLost):
					lost.Add(1)
				default:
					t.Errorf("call %d: %v", sum, err)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	for range 6 {
		time.Sleep(60 * time.Millisecond)
		hole.DropOpen()
	}
	<-done
	if answered.Load() == 0 || lost.Load() == 0 {
		t.Errorf("%d calls answered and %d lost: nothing was tried", answered.Load(), lost.Load())
	}
}
