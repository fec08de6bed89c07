package logclient_test

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/standin/fault"
	"coltsfootmux/internal/standin/logstore"
)

func TestFollowerThatMissedRecordsIsResetAndReadsWhatIsLeft(t *testing.T) {
	inVirtualTime(t, logstore.Options{Retention: time.Hour}, logclient.Options{}, func(t *testing.T, b *bench) {
		if err := b.client.Enqueue(stream, record("seen")); err != nil {
			t.Fatal(err)
		}
		settle(time.Minute)
		other := logclient.New(b.store.Client("home"), logclient.Options{Seed: 1})
		defer other.Close()
		for i := range 5 {
			if _, err := other.Append(b.ctx, stream, record(fmt.Sprint("missed", i))); err != nil {
				t.Fatal(err)
			}
		}
		settle(2 * time.Hour)
		if _, err := other.Append(b.ctx, stream, record("left")); err != nil {
			t.Fatal(err)
		}
		// A reader that was away since it read the first record comes back.
		cut := &collector{}
		go b.followFrom(2, cut)
		settle(time.Minute)
		if cut.resets != 1 || fmt.Sprint(cut.all()) != "[left]" {
			t.Errorf("%d resets, then %v", cut.resets, cut.all())
		}
	})
}

func TestFollowerSaysWhenItHasCaughtUp(t *testing.T) {
	inVirtualTime(t, logstore.Options{}, logclient.Options{}, func(t *testing.T, b *bench) {
		settle(time.Second)
		if b.read.heads != 1 {
			t.Fatalf("caught up %d times on an empty stream", b.read.heads)
		}
		for i := range 3000 {
			if err := b.client.Enqueue(stream, record(fmt.Sprint(i))); err != nil {
				t.Fatal(err)
			}
		}
		settle(time.Minute)
		late := &collector{}
		go b.follow(late)
		settle(time.Second)
		if late.heads != 1 || len(late.all()) != 3000 {
			t.Fatalf("caught up %d times with %d records", late.heads, len(late.all()))
		}
		b.store.SetFault(fault.Fault{Down: true})
		settle(time.Hour)
		b.store.SetFault(fault.Fault{})
		settle(time.Minute)
		if late.heads != 2 {
			t.Fatalf("caught up %d times after an outage", late.heads)
		}
	})
}

func TestFollowerGivesRecordsOfAllWritersInLogOrder(t *testing.T) {
	inVirtualTime(t, logstore.Options{}, logclient.Options{}, func(t *testing.T, b *bench) {
		other := logclient.New(b.store.Client("away"), logclient.Options{Seed: 1})
		defer other.Close()
		for i := range 50 {
			c := []*logclient.Client{b.client, other}[i%2]
			if err := c.Enqueue(stream, record(fmt.Sprint(i))); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		settle(time.Second)
		var want []string
		for _, e := range b.store.Entries(stream) {
			want = append(want, e.Record.ID)
		}
		if got := b.read.all(); fmt.Sprint(got) != fmt.Sprint(want) || len(got) != 50 {
			t.Errorf("read %v, log has %v", got, want)
		}
	})
}
