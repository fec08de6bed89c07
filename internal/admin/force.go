package admin

import (
	"context"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/logclient"
)

// forceMargin is how far a forced version goes beyond the highest that any host
// answered with, for hosts that can't be asked.
const forceMargin = 1000

// attemptForce publishes a document on top of every version there may be.
func (s *Server) attemptForce(ctx context.Context, c *change) (*ChangedBody, *refusal) {
	var old *config.Document
	if cur := s.o.Configs.Current(); cur != nil {
		old = &cur.Document
	}
	doc, no := build(c, old)
	if no != nil {
		return nil, no
	}
	base := c.base
	for _, h := range s.o.Configs.Versions(ctx) {
		base = max(base, h.Version)
	}
	rec := &settings.Record{
		ID: logclient.NewID(), Base: base + forceMargin, Author: c.who.Name, Reason: c.reason,
		At: s.o.Clock(), Change: settings.Change{Document: doc}, Force: true,
	}
	return s.publish(ctx, rec, config.Diff(old, doc))
}
