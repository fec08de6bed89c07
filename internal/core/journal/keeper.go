package journal

import (
	"time"

	"coltsfootmux/internal/platform"
)

const (
	// keepShare is the part of the retention after which a live record is written again.
	keepShare = 2
	// jitterShare is the part of the retention over which processes spread that.
	jitterShare = 8
	// againShare is the part of the retention that a record written again has
	// to show up in the stream.
	againShare = 16
)

// Keeper decides which live records to write again before the log forgets
// them. A record that another process has written again is left alone. It is
// not safe for concurrent use.
type Keeper struct {
	// after is the age at which a record is written again.
	after time.Duration
	again time.Duration
	keep  time.Duration
	seen  map[string]time.Time
	asked map[string]time.Time
}

// NewKeeper makes a Keeper for a stream with the given retention. Jitter, from
// [0,1), tells processes apart, so that usually one of them writes.
func NewKeeper(retention time.Duration, jitter float64) *Keeper {
	spread := time.Duration(jitter * float64(retention/jitterShare))
	return &Keeper{
		after: retention/keepShare + spread,
		again: retention / againShare,
		keep:  retention,
		seen:  make(map[string]time.Time),
		asked: make(map[string]time.Time),
	}
}

// Saw notes that a record was read, and when it was appended.
func (k *Keeper) Saw(id string, at time.Time) {
	if at.After(k.seen[id]) {
		k.seen[id] = at
	}
	delete(k.asked, id)
}

// Due gives those of the live records that are to be written again, in the
// order given. A live record that was never seen in the stream is due at once.
func (k *Keeper) Due(now time.Time, live []platform.Record) []platform.Record {
	var due []platform.Record
	for _, r := range live {
		if now.Sub(k.seen[r.ID]) < k.after || now.Sub(k.asked[r.ID]) < k.again {
			continue
		}
		k.asked[r.ID] = now
		due = append(due, r)
	}
	k.prune(now)
	return due
}

// Wrote notes that writing records has ended, which in an outage takes long:
// from now on they have again some time to show up in the stream.
func (k *Keeper) Wrote(now time.Time, recs []platform.Record) {
	for _, r := range recs {
		if _, waits := k.asked[r.ID]; waits {
			k.asked[r.ID] = now
		}
	}
}

// prune forgets records that the log has forgotten too.
func (k *Keeper) prune(now time.Time) {
	for id, at := range k.seen {
		if now.Sub(at) > k.keep {
			delete(k.seen, id)
		}
	}
	for id, at := range k.asked {
		if now.Sub(at) > k.keep {
			delete(k.asked, id)
		}
	}
}
