package instance

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"

	"coltsfootmux/internal/core/confidence"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/wire"
)

// askOtherWitnesses asks other instances whether they answer this one and the owner of a term answers
// them.
func (i *Instance) askOtherWitnesses(ctx context.Context, a confidence.AskOthers) {
	var wg sync.WaitGroup
	var witnesses, further judgements
	wg.Go(func() { witnesses = i.askAboutOwner(ctx, a.Term, a.Addrs) })
	wg.Go(func() { further = i.askAboutOwner(ctx, a.Term, a.Further) })
	wg.Wait()
	if ctx.Err() != nil {
		return
	}
	evWitnessesAsked.Log(ctx, i.logger, slog.Int64("term", a.Term), slog.Any("asked", a.Addrs), slog.Any("answered", witnesses.answered),
		slog.Any("further", a.Further), slog.Any("further_answered", further.answered), slog.Any("silent", slices.Concat(witnesses.silent, further.silent)))
	i.stepConfidence(confidence.OthersAsked{
		Term: a.Term, Asked: len(a.Addrs), Answered: len(witnesses.answered), FurtherAsked: len(a.Further),
		FurtherAnswered: len(further.answered), Silent: len(witnesses.silent) + len(further.silent),
	})
}

// judgements are the addresses of the instances that have answered a question about an owner, and of
// those of them that it does not answer.
type judgements struct{ answered, silent []string }

// askAboutOwner asks instances whether the owner of a term answers them.
func (i *Instance) askAboutOwner(ctx context.Context, t int64, addrs []string) (out judgements) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, addr := range addrs {
		wg.Go(func() {
			r, err := i.askWitness(ctx, addr, wire.WitnessQuery{Ask: wire.AskOwner, Term: t})
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				out.answered = append(out.answered, addr)
			}
			if err == nil && r.OwnerSilent {
				out.silent = append(out.silent, addr)
			}
		})
	}
	wg.Wait()
	return out
}

// ownerIsSilent asks the owner of a term for an answer on behalf of another instance, within the time that
// this one waits. It returns false if this instance knows of another owner.
func (i *Instance) ownerIsSilent(ctx context.Context, t int64) bool {
	rec, ok := i.ownerRecord()
	if !ok || rec.Term != t || rec.Addr == i.Settings.LinkAddr {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return !i.ownerAnswers(ctx, rec.Addr, t)
}

// writeVote appends a vote to the topic of the term without a condition. One that is lost is followed
// by another, or by those of other witnesses.
func (i *Instance) writeVote(ctx context.Context, v term.Vote) {
	value, err := encodeRecord(v)
	if err == nil {
		_, err = i.store.Append(ctx, external.Append{
			Topic: topicTerm, Records: []external.Record{{Key: keyVote + i.Settings.Name, Value: value}},
		})
	}
	mVotesWritten.With(v.Reason.String()).Inc()
	evVoteWritten.Log(ctx, i.logger, slog.Int64("term", v.Term), slog.String("reason", v.Reason.String()), slog.Int("unanswered", v.Unanswered), slog.Any("error", err))
}

// decodeVote decodes a record of the topic of the term; ok is false if it is no vote, or an invalid one.
func (i *Instance) decodeVote(r external.Record) (v term.Vote, ok bool) {
	voter, ok := strings.CutPrefix(r.Key, keyVote)
	if !ok || len(r.Value) == 0 {
		return term.Vote{}, false
	}
	if err := decodeRecord(r.Value, &v); err != nil {
		evRecordInvalid.Log(i.ctx, i.logger, slog.String("topic", string(topicTerm)), slog.String("key", r.Key), slog.Any("error", err))
		return term.Vote{}, false
	}
	v.Offset = r.Offset
	if v.Term == i.ownedTermNumber() {
		mVotesRead.With(v.Reason.String()).Inc()
		evVoteRead.Log(i.ctx, i.logger, slog.Int64("term", v.Term), slog.String("voter", voter), slog.String("reason", v.Reason.String()),
			slog.Int("unanswered", v.Unanswered))
	}
	return v, true
}
