package httpworker_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/httpworker"
	"coltsfootmux/internal/scenario/memnet"
	"coltsfootmux/internal/standin/fault"
	"coltsfootmux/internal/standin/serve"
	"coltsfootmux/internal/standin/worker"
)

var capacity = model.Shape{Slots: 8, Accelerators: 8, CPUMilli: 32_000, MemoryMB: 128_000}

// serveWorker runs a stand-in worker behind HTTP in memory and gives a client of it.
// It is to be called in a synctest bubble.
func serveWorker(t *testing.T, opts httpworker.Options) (*worker.Worker, platform.Worker) {
	t.Helper()
	w := worker.New(worker.Options{ID: "w1", Capacity: capacity})
	network := memnet.New()
	srv := serve.NewServer(w.Handler())
	l := network.Listen("w1:80")
	go func() { _ = srv.Serve(l) }()
	opts.Dial = network.Dial
	ws := httpworker.New(opts)
	t.Cleanup(func() {
		w.SetFault(worker.Fault{})
		ws.Close()
		_ = srv.Close()
	})
	return w, ws.Dial(model.Worker{ID: "w1", Addr: "w1:80"})
}

func startOf(lease model.LeaseID, spec worker.Spec) platform.Start {
	return platform.Start{
		Lease: lease,
		Cell:  "c1",
		Epoch: 16,
		Grant: &platform.Grant{
			Lease: lease, Cell: "c1", Epoch: 16, TTL: time.Minute,
			Shape: model.Shape{Slots: 1},
			Label: platform.Label{Key: "k1", Members: 1},
		},
		Body: spec.Encode(),
	}
}

func TestTaskRunsAndItsWholeAnswerComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, c := serveWorker(t, httpworker.Options{})
		ctx := context.Background()
		if err := c.Start(ctx, startOf("l1", worker.Spec{RunMS: 5, AnswerBytes: 100_000})); err != nil {
			t.Fatal(err)
		}
		ending, err := c.Wait(ctx, "l1")
		if err != nil {
			t.Fatal(err)
		}
		if ending.State != platform.EndDone || string(ending.Answer) != string(worker.ExpectedAnswer("k1", 0, 100_000)) {
			t.Fatalf("got %s with %d bytes", ending.State, len(ending.Answer))
		}
	})
}

func TestEveryCallCrossesTheWire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, c := serveWorker(t, httpworker.Options{})
		ctx := context.Background()
		check := func(err error) {
			t.Helper()
			if err != nil {
				t.Fatal(err)
			}
		}
		scope := model.CellScope("c1")
		fenced, err := c.Fence(ctx, platform.Fence{Scope: scope, Epoch: 16})
		check(err)
		if fenced.Previous != 0 || fenced.Incarnation == "" {
			t.Errorf("fenced: %+v", fenced)
		}
		held, err := c.Hold(ctx, []platform.Hold{{Group: 1, Epoch: 16, TTL: time.Second}, {Group: 2, Epoch: 16, TTL: time.Second}})
		check(err)
		if held[0].Refused || held[1].Refused || held[0].Echo == held[1].Echo {
			t.Errorf("held: %+v", held)
		}
		start := startOf("l1", worker.Spec{RunMS: 60_000})
		check(c.Grant(ctx, *start.Grant))
		check(c.Start(ctx, start))
		listing, err := c.List(ctx, scope)
		check(err)
		if len(listing.Leases) != 1 || !listing.Leases[0].Started || listing.Leases[0].Label.Key != "k1" {
			t.Errorf("listing: %+v", listing)
		}
		report, err := c.Renew(ctx, platform.Renew{Cell: "c1", Epoch: 16, TTL: time.Minute})
		check(err)
		if len(report.Leases) != 1 || report.Last != 0 {
			t.Errorf("report: %+v", report)
		}
		check(c.Control(ctx, platform.Control{Lease: "l1", Cell: "c1", Epoch: 16, Verb: platform.VerbThrottle}))
		released, err := c.Release(ctx, platform.Release{Lease: "l1", Scope: scope, Epoch: 16})
		check(err)
		if !released.Started || released.Ending == nil || released.Ending.State != platform.EndStopped {
			t.Errorf("released: %+v", released)
		}
	})
}

func TestErrorsKeepTheirMeaningOverTheWire(t *testing.T) {
	ctx := context.Background()
	for name, tc := range map[string]struct {
		call func(c platform.Worker) error
		want error
	}{
		"a lower epoch is stale": {func(c platform.Worker) error {
			if _, err := c.Fence(ctx, platform.Fence{Scope: model.CellScope("c1"), Epoch: 32}); err != nil {
				return err
			}
			return c.Start(ctx, startOf("l1", worker.Spec{}))
		}, platform.ErrStaleEpoch},
		"a grant over the capacity is refused": {func(c platform.Worker) error {
			g := *startOf("l1", worker.Spec{}).Grant
			g.Shape.Slots = 9
			return c.Grant(ctx, g)
		}, platform.ErrRefused},
		"a wait for an unknown lease finds nothing": {func(c platform.Worker) error {
			_, err := c.Wait(ctx, "none")
			return err
		}, platform.ErrNotFound},
		"a keyed start without a hold is refused": {func(c platform.Worker) error {
			s := startOf("l1", worker.Spec{})
			s.Keyed, s.GroupEpoch = true, 16
			return c.Start(ctx, s)
		}, platform.ErrRefused},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, c := serveWorker(t, httpworker.Options{})
				if err := tc.call(c); !errors.Is(err, tc.want) {
					t.Fatalf("got %v, want %v", err, tc.want)
				}
			})
		})
	}
}

func TestFailuresAreToldApart(t *testing.T) {
	ctx := context.Background()
	short := httpworker.Options{Timeout: 200 * time.Millisecond}
	for name, tc := range map[string]struct {
		fault fault.Fault
		want  error
		ran   int
	}{
		"a worker that is down did nothing":            {fault.Fault{Down: true}, platform.ErrUnavailable, 0},
		"an answer lost after the start is unclear":    {fault.Fault{LoseAnswers: 1}, platform.ErrUnclear, 1},
		"a paused worker's answer is unclear at first": {fault.Fault{Paused: true}, platform.ErrUnclear, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, c := serveWorker(t, short)
				w.SetFault(worker.Fault{Fault: tc.fault})
				err := c.Start(ctx, startOf("l1", worker.Spec{RunMS: 60_000}))
				if !errors.Is(err, tc.want) {
					t.Fatalf("got %v, want %v", err, tc.want)
				}
				if got := len(w.Runs()); got != tc.ran {
					t.Fatalf("%d runs, want %d", got, tc.ran)
				}
			})
		})
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	srv := httptest.NewServer(nil)
	addr := strings.TrimPrefix(srv.URL, "http://")
	srv.Close()
	c := httpworker.New(httpworker.Options{}).Dial(model.Worker{ID: "w1", Addr: addr})
	err := c.Start(context.Background(), startOf("l1", worker.Spec{}))
	if !errors.Is(err, platform.ErrNotSent) {
		t.Fatalf("got %v", err)
	}
}

func TestSilentConnectionIsGivenUpAndReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c := serveWorker(t, httpworker.Options{Timeout: 200 * time.Millisecond})
		ctx := context.Background()
		if err := c.Grant(ctx, *startOf("l1", worker.Spec{}).Grant); err != nil {
			t.Fatal(err)
		}
		w.SilenceConnections()
		if err := c.Grant(ctx, *startOf("l2", worker.Spec{}).Grant); !errors.Is(err, platform.ErrUnclear) {
			t.Fatalf("on the silent connection: %v", err)
		}
		if err := c.Grant(ctx, *startOf("l3", worker.Spec{}).Grant); err != nil {
			t.Fatalf("on a new connection: %v", err)
		}
		listing, err := c.List(ctx, model.CellScope("c1"))
		if err != nil {
			t.Fatal(err)
		}
		if len(listing.Leases) != 2 {
			t.Fatalf("%d leases, want l1 and l3: what went into the silence must not arrive", len(listing.Leases))
		}
	})
}

func TestOneTimeoutCondemnsAllSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c := serveWorker(t, httpworker.Options{Timeout: 200 * time.Millisecond, Poll: 100 * time.Millisecond})
		ctx := context.Background()
		if err := c.Start(ctx, startOf("l1", worker.Spec{RunMS: 50})); err != nil {
			t.Fatal(err)
		}
		// Waits that overlap leave several idle connections behind.
		errs := make(chan error, 8)
		for range cap(errs) {
			go func() {
				_, err := c.Wait(ctx, "l1")
				errs <- err
			}()
		}
		for range cap(errs) {
			if err := <-errs; err != nil {
				t.Fatal(err)
			}
		}
		w.SilenceConnections()
		if _, err := c.List(ctx, model.CellScope("c1")); !errors.Is(err, platform.ErrUnclear) {
			t.Fatalf("on a silent connection: %v", err)
		}
		if _, err := c.List(ctx, model.CellScope("c1")); err != nil {
			t.Fatalf("after the first timeout: %v", err)
		}
	})
}

func TestWaitOutlivesASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, c := serveWorker(t, httpworker.Options{Timeout: 200 * time.Millisecond, Poll: 100 * time.Millisecond})
		ctx := context.Background()
		if err := c.Start(ctx, startOf("l1", worker.Spec{RunMS: 700})); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(150*time.Millisecond, w.SilenceConnections)
		ending, err := c.Wait(ctx, "l1")
		if err != nil || ending.State != platform.EndDone {
			t.Fatalf("got %+v, %v", ending, err)
		}
	})
}

func TestWaitsDoNotHoldUpOtherCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, c := serveWorker(t, httpworker.Options{Timeout: time.Second, MaxConns: 4})
		ctx, cancel := context.WithCancel(context.Background())
		if err := c.Start(ctx, startOf("l1", worker.Spec{RunMS: 60_000})); err != nil {
			t.Fatal(err)
		}
		var waits sync.WaitGroup
		for range 20 {
			waits.Go(func() { _, _ = c.Wait(ctx, "l1") })
		}
		for epoch := range model.Epoch(20) {
			if _, err := c.Fence(ctx, platform.Fence{Scope: model.GroupScope(1), Epoch: epoch}); err != nil {
				t.Errorf("fence %d: %v", epoch, err)
			}
		}
		cancel()
		waits.Wait()
	})
}

// BenchmarkStartAndWait gives the cost of a task that ends at once, over
// loopback HTTP, with callers as -cpu says.
func BenchmarkStartAndWait(b *testing.B) {
	w := worker.New(worker.Options{ID: "w1", Capacity: capacity, HistoryRetention: time.Second, BarRetention: time.Second})
	srv := httptest.NewServer(w.Handler())
	defer srv.Close()
	ws := httpworker.New(httpworker.Options{})
	defer ws.Close()
	c := ws.Dial(model.Worker{ID: "w1", Addr: strings.TrimPrefix(srv.URL, "http://")})
	var lease atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := model.LeaseID(strconv.FormatInt(lease.Add(1), 10))
			if err := c.Start(b.Context(), startOf(id, worker.Spec{AnswerBytes: 100})); err != nil {
				b.Error(err)
				return
			}
			if _, err := c.Wait(b.Context(), id); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
