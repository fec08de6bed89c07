package instance

import (
	"context"
	"log/slog"
	"sync"

	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// maxHandoverPeers bounds the instances that are notified of a released term. The first
// that the store serves claims the next one; the others are notified in case some don't
// answer.
const maxHandoverPeers = 4

// sendReleasedTerm sends strong instances, which claim without a delay, a term record that
// the store does not accept from this instance.
func (i *Instance) sendReleasedTerm(ctx context.Context, r term.Record) {
	var wg sync.WaitGroup
	for _, addr := range i.members.strong(boottime(), maxHandoverPeers) {
		wg.Go(func() {
			_, err := askPeer[wire.TermNotice, wire.Ack](ctx, i, addr, wire.KindTermNotice, wire.TermNotice{Record: r})
			evTermReleaseSent.Log(ctx, i.logger, slog.Int64("term", r.Term), slog.String("addr", addr), slog.Any("error", err))
		})
	}
	wg.Wait()
}

func (i *Instance) onTermNotice(_ context.Context, _ link.Peer, q wire.TermNotice) (wire.Ack, error) {
	i.stepTerm(term.PeerRecord{Record: q.Record})
	return wire.Ack{}, nil
}
