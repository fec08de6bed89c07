package logclient_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/core/journal"
	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/standin/fault"
	"coltsfootmux/internal/standin/logstore"
)

func TestAppendGivesTheOffsetOfTheRecord(t *testing.T) {
	inVirtualTime(t, logstore.Options{}, logclient.Options{}, func(t *testing.T, b *bench) {
		for i := range 3 {
			got, err := b.client.Append(b.ctx, stream, record(fmt.Sprint(i)))
			if err != nil || got != model.Offset(i+1) {
				t.Fatalf("record %d: offset %d, %v", i, got, err)
			}
		}
	})
}

func TestLostAnswerLeavesOneRecord(t *testing.T) {
	inVirtualTime(t, logstore.Options{}, logclient.Options{}, func(t *testing.T, b *bench) {
		b.store.SetFault(fault.Fault{LoseAnswers: 1})
		got, err := b.client.Append(b.ctx, stream, record("a"))
		if err != nil || got != 1 {
			t.Fatalf("offset %d, %v", got, err)
		}
		settle(time.Minute)
		if n := len(b.store.Entries(stream)); n != 1 {
			t.Errorf("%d entries on the log", n)
		}
		if n := b.read.count("a"); n != 1 {
			t.Errorf("read %d times", n)
		}
	})
}

func TestAppendThatArrivesAfterItsTailWasReadIsReadOnce(t *testing.T) {
	opts := logclient.Options{CallTimeout: time.Second}
	inVirtualTime(t, logstore.Options{}, opts, func(t *testing.T, b *bench) {
		// The stream's place is known before the log slows down.
		if _, err := b.client.Append(b.ctx, stream, record("first")); err != nil {
			t.Fatal(err)
		}
		b.store.SetFault(fault.Fault{Slow: 10 * time.Second})
		if err := b.client.Enqueue(stream, record("late")); err != nil {
			t.Fatal(err)
		}
		settle(5 * time.Second)
		b.store.SetFault(fault.Fault{})
		settle(time.Minute)
		if n := len(b.store.Entries(stream)); n != 3 {
			t.Errorf("%d entries on the log: the late append should have doubled its record", n)
		}
		if n := b.read.count("late"); n != 1 {
			t.Errorf("read %d times", n)
		}
	})
}

func TestRecordsOutliveAnOutageOfAnHour(t *testing.T) {
	inVirtualTime(t, logstore.Options{Retention: 24 * time.Hour}, logclient.Options{}, func(t *testing.T, b *bench) {
		b.store.SetFault(fault.Fault{Down: true})
		const n = 500
		for i := range n {
			if err := b.client.Enqueue(stream, record(fmt.Sprint(i))); err != nil {
				t.Fatal(err)
			}
		}
		settle(time.Hour)
		if got := len(b.read.all()); got != 0 {
			t.Fatalf("%d records read during the outage", got)
		}
		b.store.SetFault(fault.Fault{})
		settle(time.Minute)
		got := b.read.all()
		if len(got) != n {
			t.Fatalf("%d records read, want %d", len(got), n)
		}
		for i, id := range got {
			if id != fmt.Sprint(i) {
				t.Fatalf("record %d is %s: order lost", i, id)
			}
		}
	})
}

func TestAppendDuringAnOutageEndsWithItsContext(t *testing.T) {
	for name, tc := range map[string]struct {
		fault fault.Fault
		want  error
		kept  int
	}{
		"nothing was sent, so it is not recorded": {fault.Fault{Down: true}, logclient.ErrNotRecorded, 0},
		"an append without answer is unclear":     {fault.Fault{Slow: time.Minute}, logclient.ErrUnclear, 1},
	} {
		t.Run(name, func(t *testing.T) {
			opts := logclient.Options{}
			inVirtualTime(t, logstore.Options{}, opts, func(t *testing.T, b *bench) {
				if _, err := b.client.Append(b.ctx, stream, record("first")); err != nil {
					t.Fatal(err)
				}
				b.store.SetFault(tc.fault)
				ctx, cancel := context.WithTimeout(b.ctx, 10*time.Second)
				defer cancel()
				if _, err := b.client.Append(ctx, stream, record("a")); !errors.Is(err, tc.want) {
					t.Fatalf("got %v, want %v", err, tc.want)
				}
				b.store.SetFault(fault.Fault{})
				settle(2 * time.Minute)
				if got := b.read.count("a"); got != tc.kept {
					t.Errorf("read %d times, want %d", got, tc.kept)
				}
			})
		})
	}
}

func TestQueueIsBoundedAndSaysSo(t *testing.T) {
	cfg := journal.DefaultConfig()
	cfg.QueueRecords = 10
	inVirtualTime(t, logstore.Options{}, logclient.Options{Writer: cfg}, func(t *testing.T, b *bench) {
		b.store.SetFault(fault.Fault{Down: true})
		full := 0
		for i := range 25 {
			if err := b.client.Enqueue(stream, record(fmt.Sprint(i))); errors.Is(err, logclient.ErrQueueFull) {
				full++
			}
		}
		if full != 15 {
			t.Errorf("%d records turned away, want 15", full)
		}
		if _, err := b.client.Append(b.ctx, stream, record("x")); !errors.Is(err, logclient.ErrQueueFull) {
			t.Errorf("append: %v", err)
		}
	})
}

func TestAppendsStayInsideTheBudget(t *testing.T) {
	cfg := journal.DefaultConfig()
	cfg.PerSecond, cfg.Burst, cfg.Linger = 5, 2, time.Millisecond
	inVirtualTime(t, logstore.Options{}, logclient.Options{Writer: cfg}, func(t *testing.T, b *bench) {
		const seconds = 20
		for i := range seconds * 100 {
			if err := b.client.Enqueue(stream, record(fmt.Sprint(i))); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		settle(time.Second)
		appends, capped := b.store.Counts()
		if limit := uint64(5*(seconds+1) + 2); appends > limit || capped != 0 {
			t.Errorf("%d appends and %d over the cap, want at most %d and 0", appends, capped, limit)
		}
		if got := len(b.read.all()); got != seconds*100 {
			t.Errorf("%d records read, want %d", got, seconds*100)
		}
	})
}

func TestSlowLogTakesEverythingInFewAppends(t *testing.T) {
	store := logstore.Options{AppendLatency: map[model.Region]time.Duration{"home": 2 * time.Second}}
	inVirtualTime(t, store, logclient.Options{}, func(t *testing.T, b *bench) {
		const n = 1000
		for i := range n {
			if err := b.client.Enqueue(stream, record(fmt.Sprint(i))); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		settle(10 * time.Second)
		if got := len(b.read.all()); got != n {
			t.Errorf("%d records read, want %d", got, n)
		}
		// Each append takes 2 s, so 20 s leave room for no more than 11 of them.
		if appends, _ := b.store.Counts(); appends > 11 {
			t.Errorf("%d appends", appends)
		}
	})
}

func TestFlushWaitsForEverything(t *testing.T) {
	inVirtualTime(t, logstore.Options{}, logclient.Options{}, func(t *testing.T, b *bench) {
		for i := range 100 {
			if err := b.client.Enqueue(stream, record(fmt.Sprint(i))); err != nil {
				t.Fatal(err)
			}
		}
		if err := b.client.Flush(b.ctx); err != nil {
			t.Fatal(err)
		}
		if n := len(b.store.Entries(stream)); n != 100 {
			t.Errorf("%d entries on the log", n)
		}
	})
}

func TestClosedClientAnswersItsWaiters(t *testing.T) {
	inVirtualTime(t, logstore.Options{}, logclient.Options{}, func(t *testing.T, b *bench) {
		b.store.SetFault(fault.Fault{Down: true})
		time.AfterFunc(time.Second, b.client.Close)
		if _, err := b.client.Append(b.ctx, stream, record("a")); !errors.Is(err, logclient.ErrNotRecorded) {
			t.Errorf("waiting append: %v", err)
		}
		if _, err := b.client.Append(b.ctx, stream, record("b")); !errors.Is(err, logclient.ErrClosed) {
			t.Errorf("append after Close: %v", err)
		}
	})
}
