package confsync

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/mapping"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// asksWhileUnready is how many hosts a host asks at a time until it is ready.
const asksWhileUnready = 8

// gossip looks at the host list and asks other hosts for their version, one at
// a time, and several while this host is not ready.
func (s *Store) gossip(ctx context.Context) error {
	t := time.NewTicker(s.o.AskEvery)
	defer t.Stop()
	for {
		s.list(ctx)
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

// list takes the live own hosts from the host list.
func (s *Store) list(ctx context.Context) {
	if s.o.Hosts == nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, s.o.CallTimeout)
	defer cancel()
	hosts, err := s.o.Hosts.Hosts(call)
	if err != nil {
		return
	}
	peers := ownHosts(hosts, s.o.Self.ID)
	ids := make([]model.HostID, len(peers))
	rank := 0
	for i, p := range peers {
		ids[i] = p.ID
		if p.ID < s.o.Self.ID {
			rank++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers, s.rank = peers, rank
	s.stepLocked(ctx, settings.Listed{Hosts: ids})
}

// ownHosts gives the live own hosts but one, in the order of their ids.
func ownHosts(hosts []model.Host, but model.HostID) []model.Host {
	out := slices.DeleteFunc(slices.Clone(hosts), func(h model.Host) bool {
		return h.Role == model.RoleWorker || h.State != model.HostLive || h.ID == but
	})
	slices.SortFunc(out, func(a, b model.Host) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (s *Store) ownRank() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rank
}

func (s *Store) askSome(ctx context.Context) {
	if s.o.Peers == nil {
		return
	}
	n := 1
	if !s.Ready() {
		n = asksWhileUnready
	}
	for _, p := range s.nextPeers(n) {
		if ctx.Err() != nil {
			return
		}
		s.ask(ctx, p)
	}
}

// nextPeers goes round the other hosts, starting from this one's place.
func (s *Store) nextPeers(n int) []model.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = min(n, len(s.peers))
	out := make([]model.Host, 0, n)
	for range n {
		out = append(out, s.peers[(s.rank+s.askedFor)%len(s.peers)])
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

func (s *Store) exchange(ctx context.Context, p model.Host, push wire.ConfigPush) (wire.ConfigHave, bool) {
	call, cancel := context.WithTimeout(ctx, s.o.CallTimeout)
	defer cancel()
	have, err := s.o.Peers.Exchange(call, p.Addr, push)
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
func (s *Store) have(ctx context.Context, v uint64) wire.ConfigHave {
	s.mu.Lock()
	cur, u := s.core.Current(), s.core.Since(config.Version(v))
	s.mu.Unlock()
	var out wire.ConfigHave
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

// push hands each new version to a few hosts.
func (s *Store) push(ctx context.Context) error {
	var last config.Version
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.pushNow:
		}
		s.mu.Lock()
		cur := s.core.Current()
		if last == 0 {
			last = cur.Version - 1
		}
		u := s.core.Since(last)
		s.mu.Unlock()
		if u == nil {
			continue
		}
		if u.Snapshot != nil {
			// Most hosts have the version already: tell its number first.
			u = nil
		}
		push := wire.ConfigPush{Version: uint64(cur.Version), Record: s.encode(ctx, u)}
		for _, p := range s.pushTargets(cur.Version) {
			s.pushTo(ctx, p, push)
		}
		last = cur.Version
	}
}

// pushTo pushes to one host, and again on top of its version when that is older
// than the push reached back.
func (s *Store) pushTo(ctx context.Context, p model.Host, push wire.ConfigPush) {
	mCalls.With("push").Inc()
	have, ok := s.exchange(ctx, p, push)
	if !ok || have.Version >= push.Version {
		return
	}
	s.mu.Lock()
	u := s.core.Since(config.Version(have.Version))
	s.mu.Unlock()
	mCalls.With("push").Inc()
	s.exchange(ctx, p, wire.ConfigPush{Version: push.Version, Record: s.encode(ctx, u)})
}

// pushTargets gives the hosts to push a version to. They differ from version to
// version and from host to host, so that pushes reach everybody.
func (s *Store) pushTargets(v config.Version) []model.Host {
	s.mu.Lock()
	peers := slices.Clone(s.peers)
	s.mu.Unlock()
	scope := model.Scope{Kind: model.ScopeKind(s.o.Self.ID), Name: strconv.FormatUint(uint64(v), 10)}
	slices.SortFunc(peers, func(a, b model.Host) int {
		return cmp.Compare(mapping.Weight(scope, string(a.ID)), mapping.Weight(scope, string(b.ID)))
	})
	return peers[:min(s.o.FanOut, len(peers))]
}
