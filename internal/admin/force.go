package admin

import (
	"context"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/logclient"
)

// forceMargin is added to the highest version that any host reported, because hosts
// that don't respond may have a higher one.
const forceMargin = 1000

// attemptForce publishes a document as a version higher than any that a host may
// have.
func (s *Server) attemptForce(ctx context.Context, c *change) (*ChangeResponse, *refusal) {
	var old *config.Document
	if cur := s.opts.Configs.Current(); cur != nil {
		old = &cur.Document
	}
	doc, refused := buildDocument(c, old)
	if refused != nil {
		return nil, refused
	}
	base := c.base
	for _, h := range s.opts.Configs.Versions(ctx) {
		base = max(base, h.Version)
	}
	rec := &settings.Record{
		ID: logclient.NewID(), Base: base + forceMargin, Author: c.caller.Name, Reason: c.reason,
		At: s.opts.Clock(), Change: settings.Change{Document: doc}, Force: true,
	}
	return s.publish(ctx, rec, config.Diff(old, doc))
}
