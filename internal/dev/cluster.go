package dev

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
)

const (
	drainTimeout = 10 * time.Second
	readyPoll    = 50 * time.Millisecond
)

// Cluster is a whole small deployment.
type Cluster struct {
	Size     Size
	Platform *Platform
	Hosts    []*OwnHost

	logger *slog.Logger
}

// Start starts the stand-ins, publishes a configuration and starts the own
// hosts. The error wraps ErrStart.
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

// WaitOwned waits until every cell and key group has an owner or ctx ends.
func (c *Cluster) WaitOwned(ctx context.Context) error {
	want := len(c.Platform.Cells) + c.Size.KeyGroups
	for {
		if c.owned(ctx) >= want {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ErrStart, "not every cell and key group found an owner")
		case <-time.After(readyPoll):
		}
	}
}

func (c *Cluster) owned(ctx context.Context) int {
	n := 0
	for _, h := range c.Hosts {
		v, err := h.Scheduler.Scheduler.Overview(ctx)
		if err == nil {
			n += len(v.Cells) + len(v.Groups)
		}
	}
	return n
}

// URLs gives the base URLs of the callers' API on every own host.
func (c *Cluster) URLs() []string {
	var out []string
	for _, h := range c.Hosts {
		out = append(out, h.URL())
	}
	return out
}

// Stop ends the own hosts, without draining, and then the stand-ins.
func (c *Cluster) Stop() {
	for _, h := range c.Hosts {
		h.Kill()
	}
	c.Platform.Stop()
}
