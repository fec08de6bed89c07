package scheduler

import (
	"context"
	"log/slog"
	"time"

	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// claimTimeout bounds one append of a claim; the core asks again.
const claimTimeout = 5 * time.Second

func (s *Scheduler) appendClaim(ctx context.Context, a ownership.AppendClaim) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	rec, err := encode(a.ID, recordClaim, a.Claim)
	if err == nil {
		_, err = s.o.Log.Append(ctx, platform.StreamClaims, rec)
	}
	if err != nil {
		evClaimFailed.Log(ctx, s.o.Logger, slog.String("scope", a.Claim.Scope.String()), slog.Any("error", err))
	}
}

// followClaims tells the loop of every claim in log order, and when it has read
// up to the log's head.
func (s *Scheduler) followClaims(ctx context.Context) error {
	caughtUp := logclient.OnCaughtUp(func(model.Offset) { s.post(ownMsg{ev: ownership.CaughtUp{}}) })
	return s.o.Log.Follow(ctx, platform.StreamClaims, 1, func(e platform.Entry) {
		var c model.Claim
		if err := decode(e.Record, &c); err != nil {
			evBadRecord.Log(ctx, s.o.Logger, slog.String("stream", string(platform.StreamClaims)), slog.Any("error", err))
			return
		}
		s.post(ownMsg{ev: ownership.ClaimRead{Offset: e.Offset, Claim: c, At: e.At}})
	}, caughtUp)
}
