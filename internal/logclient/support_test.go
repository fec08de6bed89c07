package logclient_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/standin/fault"
	"coltsfootmux/internal/standin/logstore"
)

const stream = platform.StreamJobs

// bench is a log service, one client of it and one reader, in virtual time.
type bench struct {
	store  *logstore.Store
	client *logclient.Client
	ctx    context.Context
	read   *collector
}

// collector keeps what a follower was handed.
type collector struct {
	mu     sync.Mutex
	ids    []string
	resets int
	heads  int
}

func (c *collector) entry(e platform.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids = append(c.ids, e.Record.ID)
}

func (c *collector) all() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.ids)
}

// count gives how often an id was handed on since the last reset.
func (c *collector) count(id string) int {
	n := 0
	for _, got := range c.all() {
		if got == id {
			n++
		}
	}
	return n
}

// inVirtualTime runs f on a bench whose log and client have the given options.
func inVirtualTime(t *testing.T, store logstore.Options, opts logclient.Options, f func(t *testing.T, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := logstore.New(store)
		ctx, cancel := context.WithCancel(context.Background())
		b := &bench{store: s, client: logclient.New(s.Client("home"), opts), ctx: ctx, read: &collector{}}
		defer func() {
			s.SetFault(fault.Fault{})
			cancel()
			b.client.Close()
		}()
		go b.follow(b.read)
		f(t, b)
	})
}

func (b *bench) follow(c *collector) { b.followFrom(0, c) }

func (b *bench) followFrom(from model.Offset, c *collector) {
	_ = b.client.Follow(
		b.ctx, stream, from, c.entry,
		logclient.OnReset(func(model.Offset) { c.reset() }),
		logclient.OnCaughtUp(func(model.Offset) { c.head() }),
	)
}

func (c *collector) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets++
	c.ids = nil
}

func (c *collector) head() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heads++
}

func record(id string) platform.Record {
	return platform.Record{ID: id, Type: "test", Data: []byte("data of " + id)}
}

func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}
