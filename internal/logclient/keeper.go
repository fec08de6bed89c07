package logclient

import (
	"context"
	"sync"
	"time"

	"coltsfootmux/internal/core/journal"
	"coltsfootmux/internal/platform"
)

// checksPerRetention is how often in one retention a Keeper looks at the live records.
const checksPerRetention = 32

// Keeper writes the live records of a stream again well before the log forgets
// them. Pass it to Follow of the same stream by WithKeeper.
type Keeper struct {
	client    *Client
	stream    platform.Stream
	retention time.Duration
	live      func() []platform.Record

	mu   sync.Mutex
	core *journal.Keeper
}

// NewKeeper makes a Keeper for a stream whose records expire after retention.
// Live gives the records that must stay readable, each with the ID under which
// it was first written; it is called from Run.
func NewKeeper(c *Client, s platform.Stream, retention time.Duration, live func() []platform.Record) *Keeper {
	return &Keeper{
		client:    c,
		stream:    s,
		retention: retention,
		live:      live,
		core:      journal.NewKeeper(retention, c.newRand().Float64()),
	}
}

// Run writes records again as they come due, until ctx ends; it gives ctx's error.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(max(k.retention/checksPerRetention, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.check(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// check writes what is due and waits until it is on the log, so that an outage
// does not pile up copies. What finds no room comes due again.
func (k *Keeper) check(ctx context.Context) {
	live := k.live()
	k.mu.Lock()
	due := k.core.Due(k.client.opts.Clock(), live)
	k.mu.Unlock()
	k.client.appendAll(ctx, k.stream, due)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.Wrote(k.client.opts.Clock(), due)
}

func (k *Keeper) saw(e platform.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.Saw(e.Record.ID, e.At)
}
