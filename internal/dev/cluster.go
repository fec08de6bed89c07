package dev

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
)

const (
	drainTimeout      = 10 * time.Second
	ownerPollInterval = 50 * time.Millisecond
)

// Cluster is a small but complete deployment: the platform's stand-ins and the
// system's own hosts.
type Cluster struct {
	Size     Size
	Platform *Platform
	Hosts    []*OwnHost

	logger *slog.Logger
}

// Start starts the stand-ins, publishes the initial configuration and starts the
// system's own hosts. The error wraps ErrStart.
func Start(ctx context.Context, s Size, logger *slog.Logger) (*Cluster, error) {
	p, err := StartPlatform(s, logger)
	if err != nil {
		return nil, err
	}
	c := &Cluster{Size: s, Platform: p, logger: logger}
	if err := p.publish(ctx, s); err != nil {
		c.Stop()
		return nil, err
	}
	for i := range s.OwnHosts {
		h, err := c.startHost(fmt.Sprintf("host%d", i+1), s.Places[i%len(s.Places)])
		if err != nil {
			c.Stop()
			return nil, err
		}
		c.Hosts = append(c.Hosts, h)
	}
	return c, nil
}

// WaitForOwners waits until every cell and key group has an owner. If ctx ends
// first, the error wraps ErrStart.
func (c *Cluster) WaitForOwners(ctx context.Context) error {
	total := len(c.Platform.Cells) + c.Size.KeyGroups
	for {
		if c.ownedCount(ctx) >= total {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ErrStart, "not every cell and key group has an owner")
		case <-time.After(ownerPollInterval):
		}
	}
}

// ownedCount returns the number of cells and key groups that have an owner.
// Schedulers that do not answer are left out.
func (c *Cluster) ownedCount(ctx context.Context) int {
	n := 0
	for _, h := range c.Hosts {
		v, err := h.Scheduler.Scheduler.Overview(ctx)
		if err == nil {
			n += len(v.Cells) + len(v.Groups)
		}
	}
	return n
}

// URLs returns the base URLs of the callers' API on every own host.
func (c *Cluster) URLs() []string {
	var out []string
	for _, h := range c.Hosts {
		out = append(out, h.URL())
	}
	return out
}

// Stop kills the own hosts, without draining them, and then stops the stand-ins.
func (c *Cluster) Stop() {
	for _, h := range c.Hosts {
		h.Kill()
	}
	c.Platform.Stop()
}
