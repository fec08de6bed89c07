package instance

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/external"
)

// narrowLink is a link of limited rate that the connections of several instances share.
type narrowLink struct {
	bytesPerSecond int

	mu        sync.Mutex
	busyUntil time.Time
	carried   int
}

// linkChunkBytes is the part of a transfer after which the link serves other transfers.
const linkChunkBytes = 16 << 10

// transfer waits until the link has carried the page, or until ctx ends.
func (l *narrowLink) transfer(ctx context.Context, p external.Page) error {
	left := 0
	for _, r := range p.Records {
		left += len(r.Value)
	}
	for ; left > 0; left -= linkChunkBytes {
		select {
		case <-time.After(time.Until(l.reserve(min(left, linkChunkBytes)))):
			external.ReportProgress(ctx)
		case <-ctx.Done():
			return eris.Wrap(external.ErrOutcomeUnknown, "no answer in time")
		}
	}
	return nil
}

// reserve returns when the link will have carried n more bytes.
func (l *narrowLink) reserve(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
	l.carried += n
	return l.busyUntil
}

// largePolicy returns a record of a version with the size of 4,400 routes.
func largePolicy(version int64) []byte {
	return fmt.Appendf(nil, "%d %s", version, bytes.Repeat([]byte("x"), 870_000))
}

// readers returns the number of instances that read the policy from the store.
func (r *rig) readers() int {
	readers := 0
	for _, n := range r.nodes {
		if n.inst.policyFromStore.Load() {
			readers++
		}
	}
	return readers
}

// The time limit of a read counted its wait for a record and the record's transfer. A
// longer transfer was cut off and began again with the first byte.
func TestPolicyArrivesOverALinkThatNeedsLongerThanARead(t *testing.T) {
	r := newRig(t, 0)
	r.link = &narrowLink{bytesPerSecond: 200_000}
	slow := r.addInstance(0)
	slow.conn.longReads.Store(true)
	r.waitFor("a policy", slow.inst.Ready)
	r.store.Put(testPolicies, "policy", largePolicy(2))
	r.waitFor("the new version", func() bool { return slow.inst.policyInForce() == 2 })
}

// Every instance of a region read each version from the store in the other region, within
// a time that ended before the link between them had carried all the copies.
func TestLargePolicyReachesARegionBehindANarrowLink(t *testing.T) {
	const (
		instances = 18
		bound     = 4 * time.Second
	)
	r := newRig(t, 0)
	r.region, r.link = "far", &narrowLink{bytesPerSecond: 30_000_000 / 8}
	for n := range instances {
		r.addInstance(n).conn.longReads.Store(true)
	}
	r.waitFor("an owner", func() bool { return r.owner() != nil })
	r.waitFor("relays in use", func() bool { return r.readers() <= instances/4 })
	for version := int64(2); version < 6; version++ {
		put := time.Now()
		r.store.Put(testPolicies, "policy", largePolicy(version))
		time.Sleep(time.Until(put.Add(bound)))
		late := 0
		for _, n := range r.nodes {
			if n.inst.policyInForce() < version {
				late++
			}
		}
		if late > 0 {
			t.Errorf("version %d is not in force on %d of %d instances after %v", version, late, len(r.nodes), bound)
		}
	}
}
