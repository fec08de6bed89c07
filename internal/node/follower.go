package node

import (
	"context"
	"sync"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// follower takes whole documents off the configuration stream in log order.
type follower struct {
	log *logclient.Client

	mu      sync.Mutex
	current *config.Versioned
	told    []func(*config.Versioned)
}

func (f *follower) Current() *config.Versioned {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

func (f *follower) OnChange(g func(*config.Versioned)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told = append(f.told, g)
}

func (f *follower) Ready() bool { return f.Current() != nil }

func (f *follower) Run(ctx context.Context) error {
	return f.log.Follow(ctx, platform.StreamConfig, 1, func(e platform.Entry) {
		doc, err := config.Parse(e.Record.Data)
		if err != nil {
			return
		}
		v := &config.Versioned{Version: config.Version(e.Offset), Document: *doc}
		f.mu.Lock()
		f.current = v
		told := f.told
		f.mu.Unlock()
		for _, g := range told {
			g(v)
		}
	}, logclient.OnReset(func(model.Offset) {}))
}
