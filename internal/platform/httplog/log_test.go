package httplog_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/httplog"
	"coltsfootmux/internal/scenario/memnet"
	"coltsfootmux/internal/standin/fault"
	"coltsfootmux/internal/standin/logstore"
	"coltsfootmux/internal/standin/serve"
)

// serveLog runs a stand-in log behind HTTP in memory and gives a client of it.
// It is to be called in a synctest bubble.
func serveLog(t *testing.T, opts logstore.Options) (*logstore.Store, *httplog.Log) {
	t.Helper()
	s := logstore.New(opts)
	network := memnet.New()
	srv := serve.NewServer(s.Handler())
	listener := network.Listen("log:80")
	go func() { _ = srv.Serve(listener) }()
	l := httplog.New("http://log", httplog.Options{Region: "home", Dial: network.Dial})
	t.Cleanup(func() {
		s.SetFault(fault.Fault{})
		l.Close()
		_ = srv.Close()
	})
	return s, l
}

func rec(id string) platform.Record {
	return platform.Record{ID: id, Type: "test", Data: []byte(id)}
}

func TestAppendsAreReadBackInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, l := serveLog(t, logstore.Options{})
		ctx := context.Background()
		first, err := l.Append(ctx, "s", []platform.Record{rec("a"), rec("b")})
		if err != nil || first != 1 {
			t.Fatalf("offset %d, %v", first, err)
		}
		es, err := l.Read(ctx, "s", 1, 10, 0)
		if err != nil || len(es) != 2 || es[1].Record.ID != "b" || es[1].Offset != 2 {
			t.Fatalf("read %+v, %v", es, err)
		}
		b, err := l.Bounds(ctx, "s")
		if err != nil || b != (platform.Bounds{Oldest: 1, Next: 3}) {
			t.Fatalf("bounds %+v, %v", b, err)
		}
	})
}

func TestReadWaitsForTheFirstEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, l := serveLog(t, logstore.Options{})
		ctx := context.Background()
		done := make(chan []platform.Entry, 1)
		go func() {
			es, _ := l.Read(ctx, "s", 1, 10, 10*time.Second)
			done <- es
		}()
		if _, err := l.Append(ctx, "s", []platform.Record{rec("a")}); err != nil {
			t.Fatal(err)
		}
		if es := <-done; len(es) != 1 {
			t.Fatalf("read %+v", es)
		}
	})
}

func TestLogFailuresAreToldApart(t *testing.T) {
	for name, tc := range map[string]struct {
		fault fault.Fault
		want  error
		kept  int
	}{
		"an outage did nothing":                      {fault.Fault{Down: true}, platform.ErrUnavailable, 0},
		"an answer lost after the append is unclear": {fault.Fault{LoseAnswers: 1}, platform.ErrUnclear, 1},
		"a log slower than the timeout is unclear":   {fault.Fault{Slow: time.Minute}, platform.ErrUnclear, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, l := serveLog(t, logstore.Options{})
				s.SetFault(tc.fault)
				_, err := l.Append(context.Background(), "s", []platform.Record{rec("a")})
				if !errors.Is(err, tc.want) {
					t.Fatalf("got %v, want %v", err, tc.want)
				}
				if got := len(s.Entries("s")); got != tc.kept {
					t.Fatalf("%d entries kept, want %d", got, tc.kept)
				}
				// What is still on its way ends before the bubble does.
				time.Sleep(2 * time.Minute)
			})
		})
	}
}

func TestExpiredOffsetIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, l := serveLog(t, logstore.Options{Retention: time.Minute})
		ctx := context.Background()
		if _, err := l.Append(ctx, "s", []platform.Record{rec("a")}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Minute)
		if _, err := l.Read(ctx, "s", 1, 10, 0); !errors.Is(err, platform.ErrExpired) {
			t.Fatalf("got %v", err)
		}
		b, err := l.Bounds(ctx, "s")
		if err != nil || b != (platform.Bounds{Oldest: 2, Next: 2}) {
			t.Fatalf("bounds %+v, %v", b, err)
		}
	})
}

func TestCapOnAppendsTurnsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, l := serveLog(t, logstore.Options{AppendsPerSecond: 10})
		ctx := context.Background()
		refused := 0
		for range 5 {
			if _, err := l.Append(ctx, "s", []platform.Record{rec("a")}); errors.Is(err, platform.ErrUnavailable) {
				refused++
			}
		}
		appends, capped := s.Counts()
		if refused != 3 || appends != 2 || capped != 3 {
			t.Fatalf("%d refused, %d appended, %d capped", refused, appends, capped)
		}
	})
}
