package instance

import (
	"context"
	"errors"
	"log/slog"

	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// requestYield asks the owner, which runs on a weaker machine, for its term.
func (i *Instance) requestYield(ctx context.Context, a term.RequestYield) {
	_, err := askPeer[wire.Yield, wire.Ack](ctx, i, a.Addr, wire.KindYield, wire.Yield{Term: a.Term, Addr: i.Settings.LinkAddr})
	evYieldRequested.Log(ctx, i.logger, slog.Int64("term", a.Term), slog.String("addr", a.Addr), slog.Any("error", err))
	rec := i.latestTermRecord()
	if err == nil || errors.Is(err, link.ErrRemote) || rec.Term != a.Term || !i.isWitnessOf(rec) {
		return
	}
	others := i.otherWitnesses(rec)
	i.stepTerm(term.YieldUnanswered{Term: a.Term, Asked: len(others), Answered: len(i.present(ctx, others))})
}

func (i *Instance) onYield(_ context.Context, _ link.Peer, q wire.Yield) (wire.Ack, error) {
	i.stepTerm(term.YieldRequested{Term: q.Term, Addr: q.Addr})
	return wire.Ack{}, nil
}
