package dev

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/platform"
)

// publish appends the initial configuration to the log. The error wraps ErrStart.
func (p *Platform) publish(ctx context.Context, s Size) error {
	first := settings.Record{
		ID: logclient.NewID(), Author: "coltsfootmux-dev", Reason: "first configuration", At: time.Now(),
		Change: settings.Change{Document: initialDocument(s, p.Cells)},
	}
	data, err := settings.EncodeRecord(&first)
	if err != nil {
		return eris.Wrap(ErrStart, err.Error())
	}
	home := p.Log.Client(s.Places[0].Region)
	rec := platform.Record{ID: first.ID, Type: settings.TypeChange, Data: data}
	if _, err := home.Append(ctx, platform.StreamConfig, []platform.Record{rec}); err != nil {
		return eris.Wrap(ErrStart, err.Error())
	}
	return nil
}
