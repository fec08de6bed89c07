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
	// asksWhileUnready is how many hosts a host asks at a time until it is ready.
	asksWhileUnready = 8
	// asksWhileCut is how many it asks at a time while it can't read the log.
	asksWhileCut = 3
	// quietTime is how long a host that did not answer is passed over.
	quietTime = 30 * time.Second
)

// gossip asks other hosts for their version, one at a time, and several while
// this host is not ready.
func (s *Store) gossip(ctx context.Context) error {
	t := time.NewTicker(s.o.AskEvery)
	defer t.Stop()
	s.list(ctx)
	for {
		s.askSome(ctx)
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

func (s *Store) askSome(ctx context.Context) {
	if s.o.Peers == nil {
		return
	}
	n := 1
	switch {
	case !s.Ready():
		n = asksWhileUnready
	case s.logDown.Load():
		n = asksWhileCut
	}
	var wg sync.WaitGroup
	for _, p := range s.nextPeers(n) {
		wg.Go(func() { s.ask(ctx, p) })
	}
	wg.Wait()
}

// nextPeers goes round the other hosts, starting from this one's place.
func (s *Store) nextPeers(n int) []model.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := s.answering()
	n = min(n, len(peers))
	out := make([]model.Host, 0, n)
	for range n {
		out = append(out, peers[(s.rank+s.askedFor)%len(peers)])
		s.askedFor++
	}
	return out
}

// ask asks one host for its version, and for what is missing here.
func (s *Store) ask(ctx context.Context, p model.Host) {
	mCalls.With("ask").Inc()
	s.exchange(ctx, p, wire.ConfigPush{Version: s.wanted()})
}

// wanted gives the version to ask on top of; 0 asks for a snapshot.
func (s *Store) wanted() uint64 {
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
	s.noteAnswer(p.ID, err == nil)
	if err != nil {
		return have, false
	}
	s.take(ctx, p.ID, have.Version, have.Record)
	return have, true
}

// take takes in what another host said.
func (s *Store) take(ctx context.Context, from model.HostID, version uint64, record []byte) {
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

// have tells this host's version, with what a host at version v lacks.
func (s *Store) have(ctx context.Context, v uint64) wire.ConfigReply {
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
