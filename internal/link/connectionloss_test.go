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

// handlersPerDrop is the number of handler runs after which the open connections go
// silent. In the test's 300 calls this happens up to six times.
const handlersPerDrop = 50

// handlerRuns counts the handler runs of each call.
type handlerRuns struct {
	mu    sync.Mutex
	calls map[uint64]int
	total int
}

// record counts a handler run and reports whether the connections must be dropped now.
func (r *handlerRuns) record(sum uint64) (drop bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[sum]++
	r.total++
	return r.total%handlersPerDrop == 0
}

func (r *handlerRuns) count(sum uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls[sum]
}

// TestCallResultsMatchHandlerRunsWhileConnectionsGoSilent makes calls over a network
// that repeatedly drops the bytes of all open connections. A handler triggers this
// before it answers, so that its own answer is lost independently of the machine's load.
func TestCallResultsMatchHandlerRunsWhileConnectionsGoSilent(t *testing.T) {
	runs := &handlerRuns{calls: make(map[uint64]int)}
	var blackhole *linktest.Blackhole
	s := link.NewServer(link.ServerOptions{Limits: fastLimits()})
	link.Handle(s, wire.KindSubmit, func(ctx context.Context, _ link.Peer, q wire.Submit) (wire.SubmitReply, error) {
		if runs.record(q.Sum) {
			blackhole.DropOpen()
		}
		select {
		case <-time.After(time.Duration(q.Sum%20) * time.Millisecond):
		case <-ctx.Done():
		}
		return wire.SubmitReply{Result: model.Result{Key: q.Work.Key, Answer: q.Work.Body}}, nil
	})
	blackhole = linktest.NewBlackhole(t, serve(t, s))
	p := newPool(t, link.PoolOptions{Limits: fastLimits(), Seed: 3})
	ctx := testContext(t)
	var answered, unknown atomic.Int64
	var wg sync.WaitGroup
	for caller := range uint64(20) {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(caller, 0))
			for n := range uint64(15) {
				sum := caller*1000 + n
				body := fmt.Appendf(nil, "%0*d", 1+rnd.IntN(100_000), sum)
				key := model.Key(fmt.Sprint("k", sum))
				rep, err := link.Call[wire.Submit, wire.SubmitReply](ctx, p, blackhole.Addr, wire.KindSubmit,
					wire.Submit{Sum: sum, Work: model.Work{Key: key, Body: body}})
				switch {
				case err == nil:
					answered.Add(1)
					if rep.Result.Key != key || string(rep.Result.Answer) != string(body) || runs.count(sum) != 1 {
						t.Errorf("call %d: answer of %q, handler ran %d times", sum, rep.Result.Key, runs.count(sum))
					}
				case errors.Is(err, link.ErrNotExecuted), errors.Is(err, link.ErrOverloaded):
					if runs.count(sum) != 0 {
						t.Errorf("call %d: %v, but its handler ran", sum, err)
					}
				case errors.Is(err, link.ErrOutcomeUnknown):
					unknown.Add(1)
				default:
					t.Errorf("call %d: %v", sum, err)
				}
			}
		})
	}
	wg.Wait()
	if answered.Load() == 0 || unknown.Load() == 0 {
		t.Errorf("%d calls answered and %d with unknown outcome, want some of both", answered.Load(), unknown.Load())
	}
}
