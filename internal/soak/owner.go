package soak

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
)

// The records of terms, as instances write them.
const (
	topicTerm external.Topic = "keyed.term"
	keyTerm   string         = "cell-0"
)

// ownerReadTime bounds the read of the term's record.
const ownerReadTime = time.Second

// owner returns the machine that owns the cell and the number of its term, or nil.
func (s *testbed) owner() (*machine, int64) {
	ctx, cancel := context.WithTimeout(context.Background(), ownerReadTime)
	defer cancel()
	page, _ := s.store.Newest(ctx, topicTerm) // a store that fails names no owner
	for _, r := range page.Records {
		var rec term.Record
		if r.Key != keyTerm || cbor.Unmarshal(r.Value, &rec) != nil || rec.Released {
			continue
		}
		for _, m := range s.machines {
			if m.linkProxy.Addr() == rec.Addr {
				return m, rec.Term
			}
		}
	}
	return nil, 0
}
