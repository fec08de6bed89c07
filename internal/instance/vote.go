package instance

import (
	"context"
	"log/slog"
	"strings"

	"coltsfootmux/internal/core/confidence"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
)

// askOtherWitnesses asks the other witnesses of a term whether they answer this one.
func (i *Instance) askOtherWitnesses(ctx context.Context, a confidence.AskOthers) {
	answered := i.present(ctx, a.Addrs)
	if ctx.Err() != nil {
		return
	}
	evWitnessesAsked.Log(ctx, i.logger, slog.Int64("term", a.Term), slog.Any("asked", a.Addrs), slog.Any("answered", addrsOf(answered)))
	i.stepConfidence(confidence.OthersAsked{Term: a.Term, Asked: len(a.Addrs), Answered: len(answered)})
}

func addrsOf(ws []term.Witness) (out []string) {
	for _, w := range ws {
		out = append(out, w.Addr)
	}
	return out
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
	evVoteWritten.Log(ctx, i.logger, slog.Int64("term", v.Term), slog.String("reason", v.Reason.String()), slog.Any("error", err))
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
		evVoteRead.Log(i.ctx, i.logger, slog.Int64("term", v.Term), slog.String("voter", voter), slog.String("reason", v.Reason.String()))
	}
	return v, true
}
