package confsync

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/model"
)

// Store holds the configuration in force on one host. It is safe for concurrent use.
type Store struct {
	o Options

	mu          sync.Mutex
	core        *settings.Core
	listeners   []func(*config.Versioned)
	subscribers []chan struct{}
	waiters     map[string][]chan settings.Verdict
	// verdicts are those not yet passed to OnVerdict.
	verdicts []settings.Verdict
	peers    []model.Host
	rank     int

	// changed wakes callListeners, pushNow pushVersions and verdictAdded deliverVerdicts.
	changed      chan struct{}
	pushNow      chan struct{}
	verdictAdded chan struct{}
	snapshots    chan *settings.Snapshot
	nextPeer     int
	// failedAt holds when a host last failed to answer, for those that have not
	// answered since.
	failedAt map[model.HostID]time.Time
	// logDown is set while reading the log fails.
	logDown atomic.Bool

	// windowSize, windowStart and oldestKept are the state of the search for a
	// snapshot: the size of the window, its first record, and the oldest record
	// on the log.
	windowSize, windowStart, oldestKept model.Offset
}

// New returns a store without a version; Run obtains one.
func New(o Options) *Store {
	o = o.withDefaults()
	return &Store{
		o:            o,
		core:         settings.New(o.Core),
		waiters:      make(map[string][]chan settings.Verdict),
		failedAt:     make(map[model.HostID]time.Time),
		changed:      make(chan struct{}, 1),
		pushNow:      make(chan struct{}, 1),
		verdictAdded: make(chan struct{}, 1),
		snapshots:    make(chan *settings.Snapshot, 1),
	}
}

// Current returns the version in force, or nil before there is one. The caller
// must not modify it.
func (s *Store) Current() *config.Versioned {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Current()
}

// Ready reports whether a version is in force that is confirmed by the end of the
// log or by a majority of the live own hosts.
func (s *Store) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Ready()
}

// Subscribe returns a channel that receives a value after each change; several
// changes may give only one value.
func (s *Store) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, ch)
	return ch
}

// OnChange makes Run call f with each newer version. Versions that follow each
// other quickly may be skipped.
func (s *Store) OnChange(f func(*config.Versioned)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}

// Run follows the stream and other hosts until ctx ends, and returns ctx's error.
func (s *Store) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.follow(ctx) })
	g.Go(func() error { return s.refreshPeersPeriodically(ctx) })
	g.Go(func() error { return s.gossip(ctx) })
	g.Go(func() error { return s.writeSnapshots(ctx) })
	g.Go(func() error { return s.callListeners(ctx) })
	g.Go(func() error { return s.deliverVerdicts(ctx) })
	if s.o.Peers != nil {
		g.Go(func() error { return s.pushVersions(ctx) })
	}
	return g.Wait()
}

// step passes an event to the core and executes the resulting actions.
func (s *Store) step(ctx context.Context, ev settings.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepLocked(ctx, ev)
}

func (s *Store) stepLocked(ctx context.Context, ev settings.Event) {
	for _, a := range s.core.Step(s.o.Clock(), ev) {
		switch a := a.(type) {
		case settings.Install:
			s.onInstall(ctx, a.Config)
		case settings.Judge:
			s.onVerdict(ctx, a.Verdict)
		case settings.Save:
			select {
			case s.snapshots <- a.Snapshot:
			default:
			}
		case settings.Seek:
			// The next readOnce asks the core where to read.
		}
	}
	s.answerAccepted()
}

// answerAccepted answers publishers whose record came into force through another
// host's snapshot, for which there is no ruling.
func (s *Store) answerAccepted() {
	for id, chs := range s.waiters {
		v, ok := s.core.Accepted(id)
		if !ok {
			continue
		}
		for _, ch := range chs {
			ch <- settings.Verdict{Ruling: settings.RulingAccepted, Version: v}
		}
		delete(s.waiters, id)
	}
}

func (s *Store) onInstall(ctx context.Context, v *config.Versioned) {
	if !s.o.ReadOnly {
		evInstalled.Log(ctx, s.o.Logger, slog.Uint64("version", uint64(v.Version)))
		mInstalls.Inc()
		raiseHighest(uint64(v.Version))
	}
	for _, ch := range s.subscribers {
		signal(ch)
	}
	signal(s.changed)
	signal(s.pushNow)
}

func raiseHighest(v uint64) {
	for old := highest.Load(); v > old; old = highest.Load() {
		if highest.CompareAndSwap(old, v) {
			return
		}
	}
}

func (s *Store) onVerdict(ctx context.Context, v settings.Verdict) {
	if v.Ruling != settings.RulingAccepted && !s.o.ReadOnly {
		evRejected.Log(ctx, s.o.Logger, slog.Uint64("offset", uint64(v.Offset)),
			slog.String("ruling", string(v.Ruling)), slog.String("why", v.Why))
	}
	if v.Record != nil {
		for _, ch := range s.waiters[v.Record.ID] {
			ch <- v
		}
		delete(s.waiters, v.Record.ID)
	}
	if s.o.OnVerdict != nil {
		s.verdicts = append(s.verdicts, v)
		signal(s.verdictAdded)
	}
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// callListeners calls the functions that OnChange registered.
func (s *Store) callListeners(ctx context.Context) error {
	var last config.Version
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.changed:
		}
		s.mu.Lock()
		v, told := s.core.Current(), s.listeners
		s.mu.Unlock()
		if v == nil || v.Version <= last {
			continue
		}
		last = v.Version
		for _, f := range told {
			f(v)
		}
	}
}

// deliverVerdicts passes rulings to OnVerdict in order, without holding the lock.
func (s *Store) deliverVerdicts(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.verdictAdded:
		}
		s.mu.Lock()
		vs := s.verdicts
		s.verdicts = nil
		s.mu.Unlock()
		for _, v := range vs {
			s.o.OnVerdict(v)
		}
	}
}
