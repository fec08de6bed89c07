package instance

import (
	"context"
	"log/slog"
	"sync"

	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// maxTold bounds the instances that are told of a term that was given up. One that
// is served claims the next; the others are there for those that don't answer.
const maxTold = 4

// tellTerm tells strong instances, which claim without a delay, of a record that the
// store does not take from this one.
func (i *Instance) tellTerm(ctx context.Context, r term.Record) {
	var wg sync.WaitGroup
	for _, addr := range i.members.strong(boottime(), maxTold) {
		wg.Go(func() {
			_, err := askPeer[wire.TermNotice, wire.Ack](ctx, i, addr, wire.KindTermNotice, wire.TermNotice{Record: r})
			evTermTold.Log(ctx, i.logger, slog.Int64("term", r.Term), slog.String("addr", addr), slog.Any("error", err))
		})
	}
	wg.Wait()
}

func (i *Instance) onTermTold(_ context.Context, _ link.Peer, q wire.TermNotice) (wire.Ack, error) {
	i.stepTerm(term.Heard{Record: q.Record})
	return wire.Ack{}, nil
}
