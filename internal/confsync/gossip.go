package confsync

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

const (
	// peersAskedWhileUnready is how many hosts a host asks at a time until it is ready.
	peersAskedWhileUnready = 8
	// peersAskedWhileLogDown is how many hosts it asks at a time while it can't read the log.
	peersAskedWhileLogDown = 3
	// unresponsiveTime is how long a host that did not answer is not called.
	unresponsiveTime = 30 * time.Second
)

// gossip periodically asks another host for its version, or several hosts while
// this one is not ready or can't read the log.
func (s *Store) gossip(ctx context.Context) error {
	t := time.NewTicker(s.o.AskInterval)
	defer t.Stop()
	s.refreshPeers(ctx)
	for {
		s.askPeers(ctx)
		if !s.o.ReadOnly {
			s.step(ctx, settings.Tick{Rank: s.ownRank()})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (s *Store) askPeers(ctx context.Context) {
	if s.o.Peers == nil {
		return
	}
	n := 1
	switch {
	case !s.Ready():
		n = peersAskedWhileUnready
	case s.logDown.Load():
		n = peersAskedWhileLogDown
	}
	var wg sync.WaitGroup
	for _, p := range s.nextPeers(n) {
		wg.Go(func() { s.ask(ctx, p) })
	}
	wg.Wait()
}

// nextPeers returns the next n other hosts in round-robin order, starting at this
// host's rank, so that different hosts ask different ones.
func (s *Store) nextPeers(n int) []model.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := s.responsivePeers()
	n = min(n, len(peers))
	out := make([]model.Host, 0, n)
	for range n {
		out = append(out, peers[(s.rank+s.nextPeer)%len(peers)])
		s.nextPeer++
	}
	return out
}

// ask asks one host for its version and for the records that this one lacks.
func (s *Store) ask(ctx context.Context, p model.Host) {
	mCalls.With("ask").Inc()
	s.exchange(ctx, p, wire.ConfigPush{Version: s.baseVersion()})
}

// baseVersion returns the version after which another host is asked for records;
// 0 asks for a snapshot.
func (s *Store) baseVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.core.Current(); v != nil && s.core.Known() {
		return uint64(v.Version)
	}
	return 0
}

func (s *Store) exchange(ctx context.Context, p model.Host, push wire.ConfigPush) (wire.ConfigReply, bool) {
	call, cancel := context.WithTimeout(ctx, s.o.PeerTimeout)
	defer cancel()
	have, err := s.o.Peers.Exchange(call, p.Addr, push)
	s.recordAnswer(p.ID, err == nil)
	if err != nil {
		return have, false
	}
	s.applyAnswer(ctx, p.ID, have.Version, have.Record)
	return have, true
}

// applyAnswer passes the version and the encoded update, if any, of another host
// to the core.
func (s *Store) applyAnswer(ctx context.Context, from model.HostID, version uint64, record []byte) {
	s.step(ctx, settings.Heard{Host: from, Version: config.Version(version)})
	if len(record) == 0 {
		return
	}
	u, err := settings.DecodeUpdate(record)
	if err != nil {
		evBadUpdate.Log(ctx, s.o.Logger, slog.String("from", string(from)), slog.Any("error", err))
		return
	}
	s.step(ctx, settings.Offered{Update: u})
}

// replyTo returns this host's version, with the update that a host at version v lacks.
func (s *Store) replyTo(ctx context.Context, v uint64) wire.ConfigReply {
	s.mu.Lock()
	cur, u := s.core.Current(), s.core.Since(config.Version(v))
	s.mu.Unlock()
	var out wire.ConfigReply
	if cur != nil {
		out.Version = uint64(cur.Version)
	}
	out.Record = s.encode(ctx, u)
	return out
}

func (s *Store) encode(ctx context.Context, u *settings.Update) []byte {
	if u == nil {
		return nil
	}
	b, err := settings.EncodeUpdate(u)
	if err != nil {
		evEncodeFault.Log(ctx, s.o.Logger, slog.Any("error", err))
		return nil
	}
	return b
}
