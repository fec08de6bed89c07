package logclient_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/standin/fault"
	"coltsfootmux/internal/standin/logstore"
)

const (
	retention = time.Hour
	hosts     = 3
	liveCount = 20
)

// live gives the records that must stay readable.
func live() []platform.Record {
	var out []platform.Record
	for i := range liveCount {
		out = append(out, record(fmt.Sprint("live", i)))
	}
	return out
}

// keepers runs a keeper and a follower on each of several hosts.
func keepers(ctx context.Context, store *logstore.Store) []*logclient.Client {
	var out []*logclient.Client
	for i := range hosts {
		c := logclient.New(store.Client("home"), logclient.Options{Seed: uint64(i + 1)})
		k := logclient.NewKeeper(c, stream, retention, live)
		go func() { _ = c.Follow(ctx, stream, 0, func(platform.Entry) {}, logclient.WithKeeper(k)) }()
		go func() { _ = k.Run(ctx) }()
		out = append(out, c)
	}
	return out
}

// readFromOldest gives what a host that starts now learns from the log.
func readFromOldest(store *logstore.Store) map[string]bool {
	out := make(map[string]bool)
	for _, e := range store.Entries(stream) {
		out[e.Record.ID] = true
	}
	return out
}

func TestLiveRecordsNeverExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logstore.New(logstore.Options{Retention: retention})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cs := keepers(ctx, store)
		if _, err := cs[0].Append(ctx, stream, record("dead")); err != nil {
			t.Fatal(err)
		}
		settle(5 * time.Minute)
		for i := range 240 {
			time.Sleep(6 * time.Minute)
			kept := readFromOldest(store)
			for _, r := range live() {
				if !kept[r.ID] {
					t.Fatalf("check %d: %s has expired", i, r.ID)
				}
			}
		}
		if readFromOldest(store)["dead"] {
			t.Error("a record that nobody keeps did not expire")
		}
		// A day has 48 halves of the retention, in which each host alone would write
		// each record again. Most of that must be saved by seeing what others wrote.
		bounds, err := store.Client("home").Bounds(ctx, stream)
		if err != nil {
			t.Fatal(err)
		}
		if limit := 48 * liveCount * hosts / 2; int(bounds.Next) > limit {
			t.Errorf("%d records written in a day, want at most %d", bounds.Next, limit)
		}
		closeAll(cs)
	})
}

func TestLiveRecordsComeBackAfterAnOutageLongerThanTheRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logstore.New(logstore.Options{Retention: retention})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cs := keepers(ctx, store)
		settle(time.Hour)
		store.SetFault(fault.Fault{Down: true})
		settle(3 * time.Hour)
		if n := len(readFromOldest(store)); n != 0 {
			t.Fatalf("%d records outlived the outage", n)
		}
		store.SetFault(fault.Fault{})
		settle(5 * time.Minute)
		if n := len(readFromOldest(store)); n != liveCount {
			t.Fatalf("%d live records are back, want %d", n, liveCount)
		}
		// Each host may have had each record on its way when the log came back.
		if n := len(store.Entries(stream)); n > liveCount*hosts {
			t.Errorf("%d entries: copies piled up during the outage", n)
		}
		closeAll(cs)
	})
}

func TestRecordWrittenAgainIsReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logstore.New(logstore.Options{Retention: retention})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cs := keepers(ctx, store)
		read := &collector{}
		go func() { _ = cs[0].Follow(ctx, stream, 0, read.entry) }()
		settle(6 * time.Hour)
		for _, r := range live() {
			if n := read.count(r.ID); n != 1 {
				t.Errorf("%s read %d times", r.ID, n)
			}
		}
		closeAll(cs)
	})
}

func closeAll(cs []*logclient.Client) {
	for _, c := range cs {
		c.Close()
	}
}
